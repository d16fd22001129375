package model

import (
	"strconv"
	"time"
)

// Request is one caller's request to a pipeline.
type Request struct {
	// ID is unique; its part before the first dot names the node that took the request.
	ID       string
	Team     string
	Customer string
	Pipeline string
	// Key is the caller's idempotency key; empty for a pipeline that may be repeated.
	Key string
	// Attempt numbers the caller's tries with one key; zero where the caller does not count.
	Attempt int
	// Deadline is when the answer stops being useful.
	Deadline time.Time
	Input    Input
}

// Input is what a caller sends.
type Input struct {
	Text      string `json:"Text"`
	Prefix    string `json:"Prefix,omitempty"`
	MaxTokens int    `json:"MaxTokens,omitempty"`
}

// StageTiming says what one stage of a request cost.
type StageTiming struct {
	Stage    string
	Endpoint string
	// Attempts counts the calls made, hedges included.
	Attempts int
	// Elapsed includes the wait for a place at the pool.
	Elapsed time.Duration
	// Busy is the time in which endpoints worked for this stage, failed attempts included.
	Busy   time.Duration
	Tokens int
}

// Answer is the whole answer to one request.
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
	// Repeated is true where an earlier request with the same key produced this answer.
	Repeated bool
}

// Token is one generated token of a stream.
type Token struct {
	// Index counts from 0 without a gap.
	Index int
	Text  string
}

// Digest returns what the repeats of the request share: who asks, and for what. Keys and deadlines are of one try.
func (r Request) Digest() Digest {
	return NewDigest(r.Account(), r.Pipeline, r.Input.Text, r.Input.Prefix, strconv.Itoa(r.Input.MaxTokens))
}

// Account names the customer over all teams.
func (r Request) Account() string {
	return r.Team + "/" + r.Customer
}
