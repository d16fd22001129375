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

// Client calls the operators' API of a node.
type Client struct {
	// BaseURL is the URL of the node, of the form http://HOST:PORT.
	BaseURL string
	Token   string
	HTTP    *http.Client
}

// ResponseError is a response with a status other than 200.
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

// Get requests a path and decodes the response into a value.
func (c *Client) Get(ctx context.Context, path string, into any) error {
	return c.do(ctx, http.MethodGet, path, nil, into)
}

// SetDocument requests a change of the document at a path. If a response with an error status holds a ChangeResult,
// SetDocument returns that without an error.
func (c *Client) SetDocument(ctx context.Context, path string, change Change) (ChangeResult, error) {
	body, err := json.Marshal(change)
	if err != nil {
		return ChangeResult{}, errors.Wrap(err, "operator: unable to encode the change")
	}
	var result ChangeResult
	err = c.do(ctx, http.MethodPut, "/v1/settings/"+path, body, &result)
	var response *ResponseError
	if errors.As(err, &response) && json.Unmarshal(response.Body, &result) == nil && result.Outcome != "" {
		return result, nil
	}
	return result, err
}

// CheckDocument checks a document without setting it. It returns nil if the document is valid at the path.
func (c *Client) CheckDocument(ctx context.Context, path string, document []byte) error {
	var problem Problem
	return c.do(ctx, http.MethodPost, "/v1/check/"+path, document, &problem)
}

// HistoryPath returns the URL path of the history of the document at a path.
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
		return errors.Wrap(err, "operator: unable to read the response")
	}
	if res.StatusCode != http.StatusOK {
		return &ResponseError{Status: res.StatusCode, Body: data}
	}
	if err := json.Unmarshal(data, into); err != nil {
		return errors.Wrap(err, "operator: unable to decode the response")
	}
	return nil
}
