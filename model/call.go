package model

import "time"

type (
	// StageCall is a call to an endpoint to carry out one stage of a request.
	StageCall struct {
		// Request, Stage and Attempt identify the call; the reply must repeat them.
		Request string
		Stage   string
		Attempt int

		Customer  string
		Model     string   `json:",omitempty"`
		Adapter   string   `json:",omitempty"`
		Text      string   `json:",omitempty"`
		Items     []string `json:",omitempty"`
		Prefix    string   `json:",omitempty"`
		MaxTokens int      `json:",omitempty"`
		// From is the index of the first token to send; a resumed stream starts above zero.
		From int `json:",omitempty"`
		// Key and Operation are set for Call stages only.
		Key       string `json:",omitempty"`
		Operation string `json:",omitempty"`
		// Deadline is when the result stops being useful, so that the endpoint can stop the work.
		Deadline time.Time
	}

	// StageReply is an endpoint's reply to a unary call.
	StageReply struct {
		Request string
		Stage   string
		Attempt int
		Text    string
		Items   []string `json:",omitempty"`
		// Verdict is set together with Error: whether the call ran, as far as the endpoint knows.
		Verdict Verdict `json:",omitempty"`
		Error   string  `json:",omitempty"`
		Load    Load
	}

	// TokenEvent is one line of an engine's token stream.
	TokenEvent struct {
		Request string
		Stage   string
		Attempt int
		Index   int
		Text    string `json:",omitempty"`
		// Final marks the last line; a stream that ends without it was truncated.
		Final bool `json:",omitempty"`
		// Count is set on the final line: the index after the last token.
		Count int `json:",omitempty"`
		// CachedTokens is set on the final line: how many tokens of the prompt were cached.
		CachedTokens int    `json:",omitempty"`
		Error        string `json:",omitempty"`
		Load         *Load  `json:",omitempty"`
	}

	// StageOutput is the data that one stage passes to the next.
	StageOutput struct {
		Text   string
		Items  []string
		Output string
		Tokens int
	}
)

// Matches reports whether the reply belongs to the call.
func (r StageReply) Matches(c StageCall) bool {
	return r.Request == c.Request && r.Stage == c.Stage && r.Attempt == c.Attempt
}

// Matches reports whether the event belongs to the call.
func (e TokenEvent) Matches(c StageCall) bool {
	return e.Request == c.Request && e.Stage == c.Stage && e.Attempt == c.Attempt
}
