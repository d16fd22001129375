package model

import "time"

// Record is what a node keeps of a request that it received, for operators.
type Record struct {
	Request  string
	Node     string
	Customer string
	Digest   Digest
	Team     string
	Pipeline string
	Key      string
	// Forwarded names the node that ran the request, if it was another one.
	Forwarded string
	Began     time.Time
	Elapsed   time.Duration
	Verdict   Verdict
	Reason    Reason
	Detail    string
	Stages    []StageTiming
}
