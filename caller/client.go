package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// maxLineBytes bounds the length of a line in a stream.
const maxLineBytes = 4 << 20

type (
	// Client sends requests to a node.
	Client struct {
		// BaseURL is the URL of the node, of the form http://HOST:PORT.
		BaseURL string
		Token   string
		HTTP    *http.Client
	}

	// Call is one request to send.
	Call struct {
		Pipeline string
		Key      string
		// Attempt is the attempt number. It is sent if it is greater than zero.
		Attempt int
		Body    RequestBody
		// OnToken is called for each token of a stream; it may be nil.
		OnToken func(TokenBody)
	}

	// Result is the outcome of a request. Exactly one of Answer and Refusal is set.
	Result struct {
		Status  int
		Answer  *AnswerBody
		Refusal *RefusalBody
	}
)

// ErrStreamTruncated is returned if a stream ends without its final event.
var ErrStreamTruncated = errors.New("caller: the stream ended without its final event")

// Send sends a request and returns its answer or refusal. It returns an error if neither was received.
func (c *Client) Send(ctx context.Context, call Call) (Result, error) {
	data, err := json.Marshal(call.Body)
	if err != nil {
		return Result{}, errors.Wrap(err, "caller: unable to encode the request")
	}
	target := c.BaseURL + "/v1/pipelines/" + url.PathEscape(call.Pipeline) + "/requests"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(data))
	if err != nil {
		return Result{}, errors.Wrap(err, "caller: unable to create the request")
	}
	// Without GetBody, net/http does not retry the request on its own.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+c.Token)
	if call.Key != "" {
		req.Header.Set(HeaderKey, call.Key)
	}
	if call.Attempt > 0 {
		req.Header.Set(HeaderAttempt, strconv.Itoa(call.Attempt))
	}
	res, err := c.HTTP.Do(req)
	if err != nil {
		return Result{}, errors.Wrap(err, "caller: unable to send the request")
	}
	defer res.Body.Close()
	if strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream") {
		return readStream(res.Body, call.OnToken)
	}
	return readResult(res)
}

func readResult(res *http.Response) (Result, error) {
	result := Result{Status: res.StatusCode}
	decoder := json.NewDecoder(res.Body)
	if res.StatusCode == http.StatusOK {
		result.Answer = &AnswerBody{}
		return result, wrapDecodeError(decoder.Decode(result.Answer))
	}
	result.Refusal = &RefusalBody{}
	return result, wrapDecodeError(decoder.Decode(result.Refusal))
}

// wrapDecodeError wraps an error of a decoder. Unlike errors.Wrap, it returns nil for nil.
func wrapDecodeError(err error) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(err, "caller: unable to decode the response")
}

// readStream reads events up to the final one. Their IDs must be consecutive, beginning with 0.
func readStream(body io.Reader, onToken func(TokenBody)) (Result, error) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxLineBytes)
	var event string
	next := 0
	for scanner.Scan() {
		name, value, _ := strings.Cut(scanner.Text(), ": ")
		switch name {
		case "id":
			if value != strconv.Itoa(next) {
				return Result{}, errors.Errorf("caller: unexpected event ID %s in the stream: want %d", value, next)
			}
			next++
		case "event":
			event = value
		case "data":
			result, done, err := handleEvent(event, []byte(value), onToken)
			if done || err != nil {
				return result, err
			}
		}
	}
	return Result{}, ErrStreamTruncated
}

// handleEvent decodes the data of an event. It reports whether the event is the final one of its stream.
func handleEvent(event string, data []byte, onToken func(TokenBody)) (result Result, done bool, err error) {
	result.Status = http.StatusOK
	switch event {
	case EventToken:
		var token TokenBody
		if err := json.Unmarshal(data, &token); err != nil {
			return result, false, errors.Wrap(err, "caller: unable to decode a token")
		}
		if onToken != nil {
			onToken(token)
		}
		return result, false, nil
	case EventAnswer:
		result.Answer = &AnswerBody{}
		err = json.Unmarshal(data, result.Answer)
	case EventRefusal:
		result.Refusal = &RefusalBody{}
		err = json.Unmarshal(data, result.Refusal)
	default:
		return result, false, errors.Errorf("caller: unknown event %q", event)
	}
	return result, true, wrapDecodeError(err)
}
