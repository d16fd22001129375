package model

import (
	"io"
	"net/http"
	"time"
)

type (
	// Forward is a caller's request that is passed on to an endpoint unchanged.
	Forward struct {
		// ID is the caller's; each attempt of a caller has its own.
		ID     string
		Method string
		// URI is path and query as the caller sent them.
		URI  string
		Path string
		Host string
		// Header holds what is passed on: no hop-by-hop fields, no credentials and none of the
		// fields that only this system may set.
		Header http.Header
		Body   []byte
		// Digest is what the repeats of a request share although each has an ID of its own.
		Digest Digest
		// Key is the caller's API key; empty where none was given.
		Key string
		// ReceivedAt and Deadline are on the clock that counts suspension.
		ReceivedAt time.Time
		// Waited is how long the caller had waited since its first attempt when this one was
		// received; zero where that is not known.
		Waited time.Duration
		// Deadline is when the caller stops waiting; zero where it did not say.
		Deadline time.Time
		Prompt   Prompt
		// Pieces is the number of pieces of each stage of the route.
		Pieces []int
		// PieceKey names the input of the stages that follow no other.
		PieceKey string
	}

	// Prompt says what a request asks of a model engine.
	Prompt struct {
		// TokensIn and TokensOut are the prompt's length and the most tokens generated.
		TokensIn  int
		TokensOut int
		// Parts lists the parts of the prompt in order; requests share the first ones.
		Parts []PromptPart
	}

	// PromptPart is a part of a prompt that engines cache under its ID.
	PromptPart struct {
		ID     string
		Tokens int
	}

	// ForwardReply is an endpoint's answer to a forwarded request. Close must be called.
	ForwardReply struct {
		Status int
		// Header is what is passed back to the caller.
		Header http.Header
		Body   io.Reader
		// NotRun is the endpoint's word that it did not and will not run the request.
		NotRun bool
		// Misdirected is true where another endpoint has the address now; it implies NotRun.
		Misdirected bool
		// InputsGone is true where a result that the request needs is gone; it implies NotRun.
		InputsGone bool
		// Authentic is true where the reply bears the endpoint's signature.
		Authentic bool
		// Load is what the endpoint reports; nil where it reports nothing.
		Load *Load
		// RateCap is what the endpoint says of the requests that it takes.
		RateCap RateCap
		// Close ends the exchange. The connection is kept only if the body was read whole.
		Close func()
	}

	// Piece is one unit of a stage's work.
	Piece struct {
		Request string
		// Digest is the request's.
		Digest Digest
		Stage  int
		Number int
		// Key is set for stages that follow no other, Inputs for the others.
		Key    string
		Inputs []string
		// Deadline is when the result stops being useful.
		Deadline time.Time
	}

	// PieceResult is how a piece ended: Handle is empty unless it was made.
	PieceResult struct {
		Handle string
		Fault  PieceFault
	}

	// PieceFault names why a piece was not made.
	PieceFault string
)

// WithDigest returns the request with what its repeats share.
func (f Forward) WithDigest(d Digest) Forward {
	f.Digest = d
	return f
}

// FirstAttemptAt returns when the caller first asked: objectives count from there.
func (f Forward) FirstAttemptAt() time.Time {
	return f.ReceivedAt.Add(-f.Waited)
}

// WithWaited returns the request with another time that its caller had waited.
func (f Forward) WithWaited(waited time.Duration) Forward {
	f.Waited = waited
	return f
}

// The faults of pieces.
const (
	// PieceLate: its deadline had passed when its turn came.
	PieceLate PieceFault = "Late"
	// PieceStarved: it could no longer be on time, and what could went before it for too long.
	PieceStarved PieceFault = "Starved"
	// PieceInputGone: a result that it needs is gone.
	PieceInputGone PieceFault = "InputGone"
	// PieceNoRoom: the endpoint had no room for its result.
	PieceNoRoom PieceFault = "NoRoom"
	// PieceMoved: another node batches for the pool now, and is to be asked.
	PieceMoved PieceFault = "Moved"
	// PieceFailed: the endpoint failed to make it, or the call failed.
	PieceFailed PieceFault = "Failed"
)
