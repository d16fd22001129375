package caller

import (
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/model"
)

const (
	// MaxBodyBytes bounds the length of a request's body.
	MaxBodyBytes = 1 << 20
	maxTokens    = 8192
)

// Headers of requests and answers.
const (
	HeaderKey        = "Idempotency-Key"
	HeaderAttempt    = "Basilstall-Attempt"
	HeaderRequest    = "Basilstall-Request"
	HeaderVerdict    = "Basilstall-Verdict"
	HeaderRetryAfter = "Basilstall-Retry-After-Ms"
)

type (
	// RequestBody is the body of a request.
	RequestBody struct {
		model.Input
		// Timeout is a duration such as "1.5s"; Deadline is a time in RFC 3339. The earlier of the two applies, and
		// neither can exceed the deadline of the pipeline.
		Timeout  string `json:"Timeout,omitempty"`
		Deadline string `json:"Deadline,omitempty"`
		// Stream asks for server-sent events.
		Stream bool `json:"Stream,omitempty"`
	}

	// AnswerBody is the body of an answer, and the data of an Answer event.
	AnswerBody struct {
		Request  string
		Verdict  model.Verdict
		Output   string
		Tokens   int
		Checksum string
		RanOn    string
		Repeated bool `json:",omitempty"`
		Stages   []StageBody
	}

	// StageBody describes how one stage ran. Milliseconds includes the time spent waiting for a slot in the pool.
	// BusySeconds is the time in which endpoints worked for the stage, including failed attempts.
	StageBody struct {
		Stage        string
		Endpoint     string
		Attempts     int
		Milliseconds float64
		BusySeconds  float64
		Tokens       int `json:",omitempty"`
	}

	// RefusalBody is the body of a refusal, and the data of a Refusal event.
	RefusalBody struct {
		Request                string
		Verdict                model.Verdict
		Reason                 model.Reason
		RetryAfterMilliseconds int64
		Detail                 string
	}

	// TokenBody is the data of a Token event.
	TokenBody struct {
		Index int
		Text  string
	}
)

var errTrailingData = errors.New("the body holds more than one JSON value")

// DecodeBody decodes and validates the body of a request. Unknown fields and data after the JSON value are errors. The
// text of the error is sent to the caller.
func DecodeBody(data []byte) (RequestBody, error) {
	var body RequestBody
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		return body, errors.Wrap(err, "the body is not the JSON expected")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return body, errTrailingData
	}
	if body.Text == "" {
		return body, errors.New("Text is missing or empty")
	}
	if body.MaxTokens < 0 || body.MaxTokens > maxTokens {
		return body, errors.Errorf("MaxTokens must be from 0 to %d", maxTokens)
	}
	return body, nil
}

// DeadlineAt returns the deadline of a request that was received at now, at most limit later. The text of the error is
// sent to the caller.
func (b RequestBody) DeadlineAt(now time.Time, limit time.Duration) (time.Time, error) {
	deadline := now.Add(limit)
	if b.Timeout != "" {
		d, err := time.ParseDuration(b.Timeout)
		if err != nil || d <= 0 {
			return deadline, errors.Errorf("Timeout %q is not a duration above zero, such as \"1.5s\"", b.Timeout)
		}
		if at := now.Add(d); at.Before(deadline) {
			deadline = at
		}
	}
	if b.Deadline != "" {
		at, err := time.Parse(time.RFC3339Nano, b.Deadline)
		if err != nil {
			return deadline, errors.Errorf("Deadline %q is not a time in RFC 3339", b.Deadline)
		}
		if !at.After(now) {
			return deadline, errors.Errorf("Deadline %q has passed; send one in the future", b.Deadline)
		}
		if at.Before(deadline) {
			deadline = at
		}
	}
	return deadline, nil
}

func newAnswerBody(id string, a model.Answer) AnswerBody {
	body := AnswerBody{
		Request:  id,
		Verdict:  a.Verdict,
		Output:   a.Output,
		Tokens:   a.Tokens,
		Checksum: a.Checksum,
		RanOn:    a.RanOn,
		Repeated: a.Repeated,
	}
	for _, s := range a.Stages {
		body.Stages = append(body.Stages, StageBody{
			Stage:        s.Stage,
			Endpoint:     s.Endpoint,
			Attempts:     s.Attempts,
			Milliseconds: float64(s.Elapsed) / float64(time.Millisecond),
			BusySeconds:  s.Busy.Seconds(),
			Tokens:       s.Tokens,
		})
	}
	return body
}

func newRefusalBody(id string, r *model.Refusal) RefusalBody {
	return RefusalBody{
		Request:                id,
		Verdict:                r.Verdict,
		Reason:                 r.Reason,
		RetryAfterMilliseconds: r.RetryAfter.Milliseconds(),
		Detail:                 r.Detail,
	}
}
