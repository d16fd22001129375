package model

import (
	"strconv"
	"time"
)

// Request is one caller's request to a pipeline.
type Request struct {
	// ID is unique. Its part before the first dot names the node that accepted the request.
	ID       string
	Team     string
	Customer string
	Pipeline string
	// Key is the caller's idempotency key; empty for a pipeline without a non-idempotent stage.
	Key string
	// Attempt numbers the caller's attempts with one key; zero if the caller does not number them.
	Attempt int
	// Deadline is when the answer stops being useful.
	Deadline time.Time
	Input    Input
}

// Input is what a caller sends.
type Input struct {
	Text string `json:"Text"`
	// Prefix names the prompt's prefix, so that engines can reuse its cached state.
	Prefix string `json:"Prefix,omitempty"`
	// MaxTokens lowers the limit of generated tokens of Generate stages; 0 does not.
	MaxTokens int `json:"MaxTokens,omitempty"`
}

// StageTiming is the time and the calls that one stage of a request took.
type StageTiming struct {
	Stage    string
	Endpoint string
	// Attempts counts the calls, including hedged ones.
	Attempts int
	// Elapsed includes the time spent waiting for a slot in the pool.
	Elapsed time.Duration
	// Busy is the time that endpoints worked on this stage, including failed attempts.
	Busy   time.Duration
	Tokens int
}

// Answer is the complete answer to one request.
type Answer struct {
	ID       string
	Pipeline string
	Verdict  Verdict
	Output   string
	Tokens   int
	// Checksum is the xxhash of Output in hexadecimal.
	Checksum string
	Stages   []StageTiming
	// RanOn names the node that ran the pipeline.
	RanOn string
	// Repeated is true if an earlier request with the same key produced this answer.
	Repeated bool
}

// Token is one generated token of a stream.
type Token struct {
	// Index counts from 0 without a gap.
	Index int
	Text  string
}

// Digest returns the digest of the request. Key and deadline are not part of it, since a retry may have others.
func (r Request) Digest() Digest {
	return NewDigest(r.Account(), r.Pipeline, r.Input.Text, r.Input.Prefix, strconv.Itoa(r.Input.MaxTokens))
}

// Digests returns the digests of the request and of its prompt's prefix in the given pools. The prefix is what prompts of
// several requests have in common.
func (r Request) Digests(pools ...string) RequestDigests {
	out := RequestDigests{Request: r.Digest()}
	if r.Input.Prefix == "" {
		return out
	}
	for _, pool := range pools {
		out.Parts = append(out.Parts, NewPartDigest(pool, "", r.Input.Prefix))
	}
	return out
}

// Account returns TEAM/CUSTOMER, which names the customer uniquely across all teams.
func (r Request) Account() string {
	return r.Team + "/" + r.Customer
}
