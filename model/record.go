package model

import "time"

// Record describes the outcome of a request, for operators. A node stores records of the requests that it ran and of
// those that it received and another node handled.
type Record struct {
	Request  string
	Node     string
	Customer string
	Digest   Digest
	Team     string
	Pipeline string
	Key      string
	// Forwarded names the node that ran the request or owns its key, if that is another one; its record has the details.
	Forwarded string
	Began     time.Time
	Elapsed   time.Duration
	Verdict   Verdict
	Reason    Reason
	Detail    string
	Stages    []StageTiming
}
