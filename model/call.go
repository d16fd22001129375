package model

import "time"

type (
	// StageCall is what an endpoint is asked to do.
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
		// From is the index of the first token wanted: a resumed stream starts above zero.
		From int `json:",omitempty"`
		// Key and Operation are for plain services.
		Key       string `json:",omitempty"`
		Operation string `json:",omitempty"`
		// Deadline lets the endpoint stop work that has become useless.
		Deadline time.Time
	}

	// StageReply is an endpoint's answer to a unary call.
	StageReply struct {
		Request string
		Stage   string
		Attempt int
		Text    string
		Items   []string `json:",omitempty"`
		// Verdict is set with an error: what the endpoint itself knows of the call.
		Verdict Verdict `json:",omitempty"`
		Error   string  `json:",omitempty"`
		Load    Load
	}

	// TokenEvent is one line of an engine's stream.
	TokenEvent struct {
		Request string
		Stage   string
		Attempt int
		Index   int
		Text    string `json:",omitempty"`
		// Final marks the last line; a stream without it was cut.
		Final bool `json:",omitempty"`
		// Count is, on the final line, the index after the last token.
		Count int `json:",omitempty"`
		// CachedTokens says, on the final line, how much of the prompt was cached.
		CachedTokens int    `json:",omitempty"`
		Error        string `json:",omitempty"`
		Load         *Load  `json:",omitempty"`
	}

	// Carry is what one stage hands to the next.
	StageOutput struct {
		Text   string
		Items  []string
		Output string
		Tokens int
	}
)

// Answers tells whether the reply belongs to the call.
func (r StageReply) Matches(c StageCall) bool {
	return r.Request == c.Request && r.Stage == c.Stage && r.Attempt == c.Attempt
}

// Answers tells whether the event belongs to the call.
func (e TokenEvent) Matches(c StageCall) bool {
	return e.Request == c.Request && e.Stage == c.Stage && e.Attempt == c.Attempt
}
