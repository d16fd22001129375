package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/go-faster/errors"
)

// Client calls a node as an operator does.
type Client struct {
	// Base is the node's URL, http://HOST:PORT.
	BaseURL string
	Token   string
	HTTP    *http.Client
}

// ResponseError is an answer other than 200.
type ResponseError struct {
	Status int
	Body   []byte
}

// Error implements error.
func (e *ResponseError) Error() string {
	var p Problem
	if json.Unmarshal(e.Body, &p) == nil && p.Detail != "" {
		return p.Detail
	}
	return http.StatusText(e.Status)
}

// Get reads a path into a value.
func (c *Client) Get(ctx context.Context, path string, into any) error {
	return c.do(ctx, http.MethodGet, path, nil, into)
}

// Set asks for a change of the document at a path. A result comes with an error status too.
func (c *Client) SetDocument(ctx context.Context, path string, change Change) (ChangeResult, error) {
	body, err := json.Marshal(change)
	if err != nil {
		return ChangeResult{}, errors.Wrap(err, "operator: unable to encode")
	}
	var result ChangeResult
	err = c.do(ctx, http.MethodPut, "/v1/settings/"+path, body, &result)
	var response *ResponseError
	if errors.As(err, &response) && json.Unmarshal(response.Body, &result) == nil && result.Outcome != "" {
		return result, nil
	}
	return result, err
}

// Check asks what is wrong with a document; nil if it is good.
func (c *Client) CheckDocument(ctx context.Context, path string, document []byte) error {
	var problem Problem
	return c.do(ctx, http.MethodPost, "/v1/check/"+path, document, &problem)
}

// HistoryPath returns the path of a document's history.
func HistoryPath(path string) string {
	return "/v1/history?" + url.Values{"path": {path}}.Encode()
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "operator: unable to make a request")
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	res, err := c.HTTP.Do(req)
	if err != nil {
		return errors.Wrap(err, "operator: unable to reach the node")
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return errors.Wrap(err, "operator: unable to read")
	}
	if res.StatusCode != http.StatusOK {
		return &ResponseError{Status: res.StatusCode, Body: data}
	}
	if err := json.Unmarshal(data, into); err != nil {
		return errors.Wrap(err, "operator: unable to decode")
	}
	return nil
}
