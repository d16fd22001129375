package peer

import (
	"time"

	"basilstall.example/basilstall/share"
)

type (
	// Admit asks the admitter of a pool of unary endpoints for a slot. It is answered when the request may be sent or is
	// refused. Times are relative because the clocks of hosts differ.
	Admit struct {
		Pool string
		// Node identifies the process that asks, Number the request. The numbers of one process increase.
		Node   string
		Number uint64
		// Request is the ID of the request.
		Request  string
		Customer string
		// Weight is the customer's weight; 0 counts as 1.
		Weight float64
		Rank   int
		// DueIn is the time until the answer is needed, DeadlineIn the time until the request is abandoned. Work is the time
		// that an endpoint needs for the request; 0 if it is unknown.
		DueIn      time.Duration
		DeadlineIn time.Duration
		Work       time.Duration
		Ended      []AdmitEnded
	}

	// AdmitReply is the reply to Admit.
	AdmitReply struct {
		State share.GateState
		// Declined is true if the node divides no capacity of the pool now. The sender then chooses an endpoint by itself.
		Declined bool
		// Incarnation is the endpoint that has room for an admitted request.
		Incarnation string
		// Share is the work per second, in seconds of endpoints, that the customer may use. Use is what it was given. Over is
		// true if it asks for more.
		Share      float64
		Use        float64
		Over       bool
		RetryAfter time.Duration
		// AskFor is how long the pool counts as overloaded from now on.
		AskFor time.Duration
	}

	// AdmitEnded is the end of a request that the admitter was asked about, or of an attempt at an endpoint if Number is 0.
	AdmitEnded struct {
		Number uint64
		Result share.GateResult
		// Incarnation is the endpoint that got the request last; empty if none did. Slots is the number of slots that it
		// reported; 0 if it did not.
		Incarnation string
		Slots       int
		// Load is how many requests it reported as running or waiting.
		Load int
	}

	// AdmitEnd tells the admitter of a pool which requests ended. It is also sent while requests of the node wait, as its
	// reply shows that the admitter still answers.
	AdmitEnd struct {
		Pool  string
		Node  string
		Ended []AdmitEnded
		// Complete is true if Open lists all requests up to the number Last that have not ended.
		Complete bool
		Last     uint64
		Open     []uint64
	}

	// AdmitEndReply is the reply to AdmitEnd.
	AdmitEndReply struct {
		// AskFor is how long the pool counts as overloaded from now on.
		AskFor time.Duration
	}
)
