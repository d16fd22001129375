package model

import (
	"io"
	"net/http"
	"slices"
	"time"

	"basilstall.example/basilstall/ending"
)

type (
	// Forward is a caller's request that is proxied to an endpoint unchanged.
	Forward struct {
		// ID is chosen by the caller and differs between the attempts of a caller.
		ID     string
		Method string
		// URI is the path and query as the caller sent them.
		URI  string
		Path string
		Host string
		// Header holds the fields to forward: no hop-by-hop fields, no credentials and none of the
		// fields that only this system may set.
		Header http.Header
		Body   []byte
		// Digest identifies the request across its retries, each of which has an ID of its own. PartDigests are those of the
		// shared parts of its prompt in the pool that runs it.
		Digest      Digest
		PartDigests []Digest
		// Key is the caller's API key; empty if none was given.
		Key string
		// ReceivedAt and Deadline are times of clock.Now, which includes the time in which the host was suspended.
		ReceivedAt time.Time
		// Waited is how long the caller had waited since its first attempt when this one was
		// received; zero if that is not known.
		Waited time.Duration
		// Deadline is when the caller stops waiting; zero if the caller set none.
		Deadline time.Time
		Prompt   Prompt
		// Pieces is the number of pieces of each stage of the route.
		Pieces []int
		// Resumes is the ID of the caller's attempt that brought the first event of the stream which this attempt continues
		// after the event LastEventID; both are empty for a new stream.
		Resumes     string
		LastEventID string
		// PieceKey is sent by the caller and names the input of the stages that depend on no other stage.
		PieceKey string
	}

	// Prompt describes the prompt of a request to a model engine.
	Prompt struct {
		// Model is the name of the model; empty if the caller names none.
		Model string `json:",omitempty"`
		// TokensIn is the length of the prompt, TokensOut the maximum number of generated tokens.
		TokensIn  int
		TokensOut int
		// Parts lists the parts of the prompt in order. Requests may have the first parts in common.
		Parts []PromptPart
	}

	// PromptPart is a part of a prompt that engines cache under its ID.
	PromptPart struct {
		ID     string
		Tokens int
	}

	// ForwardReply is an endpoint's reply to a forwarded request. The receiver must call Close.
	ForwardReply struct {
		Status int
		// Header holds the fields that are returned to the caller.
		Header http.Header
		Body   io.Reader
		// Length is the length of the body in bytes, as the header states it; 0 if it does not.
		Length int64
		// NotRun is true if the endpoint states that it did not and will not run the request.
		NotRun bool
		// Misdirected is true if another endpoint has the address now; it implies NotRun.
		Misdirected bool
		// InputsGone is true if a result that the request needs has been lost; it implies NotRun.
		InputsGone bool
		// Authentic is true if the reply carries the endpoint's signature.
		Authentic bool
		// Framing is how the body is delimited; empty if another node passes the answer on.
		Framing ending.Framing
		// Endless is true if the body of a reply that is NotRun did not end soon.
		Endless bool
		// Statement is what the endpoint states of itself; empty if the reply is Misdirected.
		Statement Statement
		// Close ends the exchange. The connection is reused only if the body was read to its end.
		Close func()
	}

	// Piece is one unit of a stage's work. It may be processed more than once.
	Piece struct {
		Request string
		// Digest is that of the request.
		Digest Digest
		// Stage is the index of the stage in its route; Number counts the pieces of the stage from 0.
		Stage  int
		Number int
		// Key is the request's PieceKey, for stages that depend on no other stage. Inputs are the handles of the results
		// that the pieces of all other stages need.
		Key    string
		Inputs []string
		// Deadline is when the result stops being useful.
		Deadline time.Time
	}

	// PieceResult is the outcome of a piece. Handle names the result that the endpoint keeps; empty if there is none.
	PieceResult struct {
		Handle string
		Fault  PieceFault
	}

	// PieceFault names the reason why a piece has no result.
	PieceFault string
)

// WithDigest returns a copy of the request with the given digest.
func (f Forward) WithDigest(d Digest) Forward {
	f.Digest = d
	return f
}

// WithPartDigests returns a copy of the request with the digests of the shared parts of its prompt in a pool.
func (f Forward) WithPartDigests(pool string) Forward {
	f.PartDigests = nil
	for _, part := range f.Prompt.SharedParts() {
		digest := NewPartDigest(pool, f.Prompt.Model, part.ID)
		if !slices.Contains(f.PartDigests, digest) {
			f.PartDigests = append(f.PartDigests, digest)
		}
	}
	return f
}

// Digests returns the digests of the request and of the shared parts of its prompt.
func (f Forward) Digests() RequestDigests {
	return RequestDigests{Request: f.Digest, Parts: f.PartDigests}
}

// SharedParts returns the parts of the prompt that other requests may have, at most MaxSharedParts. The last part is the
// request's own.
func (p Prompt) SharedParts() []PromptPart {
	return p.Parts[:min(max(len(p.Parts)-1, 0), MaxSharedParts)]
}

// FirstAttemptAt returns when the caller sent its first attempt. Objectives are measured from there.
func (f Forward) FirstAttemptAt() time.Time {
	return f.ReceivedAt.Add(-f.Waited)
}

// WithWaited returns a copy of the request with the given time that its caller had already waited.
func (f Forward) WithWaited(waited time.Duration) Forward {
	f.Waited = waited
	return f
}

// The faults of pieces.
const (
	// PieceLate: its deadline had passed before it was started.
	PieceLate PieceFault = "Late"
	// PieceStarved: it could no longer be on time, and pieces that could were preferred to it for too long.
	PieceStarved PieceFault = "Starved"
	// PieceInputGone: a result that it needs has been lost.
	PieceInputGone PieceFault = "InputGone"
	// PieceNoRoom: the endpoint had no memory left for its result.
	PieceNoRoom PieceFault = "NoRoom"
	// PieceMoved: another node is the pool's batcher now; the piece must be sent there.
	PieceMoved PieceFault = "Moved"
	// PieceFailed: the endpoint failed to process it, or the call failed.
	PieceFailed PieceFault = "Failed"
)

// ClaimsNotRun reports whether callers conclude from the status of the reply that the request has not run, although the
// endpoint does not state it.
func (r *ForwardReply) ClaimsNotRun() bool {
	if r.NotRun {
		return false
	}
	switch r.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}
