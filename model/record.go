package model

import "time"

// Record is what a node remembers of a request that it ran, for operators.
type Record struct {
	Request  string
	Node     string
	Customer string
	Digest   Digest
	Team     string
	Pipeline string
	Key      string
	// Forwarded names the node that ran the request, if another did.
	Forwarded string
	Began     time.Time
	Elapsed   time.Duration
	Verdict   Verdict
	Reason    Reason
	Detail    string
	Stages    []StageTiming
}
