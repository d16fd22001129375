package model

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

// Verdict says whether a request without a complete answer may have had an effect.
type Verdict string

// Reason names why a request was refused, aborted or retried. Each reason has its own counter.
type Reason string

// The three verdicts.
const (
	// NotRun: no endpoint has run or will run any part of the request.
	NotRun Verdict = "NotRun"
	// MayHaveRun: a part of the request ran, or it is not known whether it did.
	MayHaveRun Verdict = "MayHaveRun"
	// Ran: the request ran to completion.
	Ran Verdict = "Ran"
)

// The reasons for refusals.
const (
	BadRequest       Reason = "BadRequest"
	Unauthorized     Reason = "Unauthorized"
	UnknownPipeline  Reason = "UnknownPipeline"
	DeadlinePassed   Reason = "DeadlinePassed"
	CannotFinish     Reason = "CannotFinish"
	Overloaded       Reason = "Overloaded"
	CustomerLimit    Reason = "CustomerLimit"
	Draining         Reason = "Draining"
	NotReady         Reason = "NotReady"
	NoEndpoint       Reason = "NoEndpoint"
	StageFailed      Reason = "StageFailed"
	StageTimeout     Reason = "StageTimeout"
	CallerGone       Reason = "CallerGone"
	OwnerUnreachable Reason = "OwnerUnreachable"
	OwnerUnknown     Reason = "OwnerUnknown"
	KeyAhead         Reason = "KeyAhead"
	KeyTooOld        Reason = "KeyTooOld"
	KeyClosed        Reason = "KeyClosed"
	KeyMismatch      Reason = "KeyMismatch"
	OutcomeUnknown   Reason = "OutcomeUnknown"
	TableUnavailable Reason = "TableUnavailable"
	AdapterNotLoaded Reason = "AdapterNotLoaded"
	// StaleRouting: the known routes and API keys are too old for a decision.
	StaleRouting Reason = "StaleRouting"
	// TooLarge: the request exceeds the size limits for callers.
	TooLarge Reason = "TooLarge"
	// StageLate: the results of a stage could not be produced in time.
	StageLate Reason = "StageLate"
	// Quarantined: the request is held back because endpoint processes crashed while they ran it.
	Quarantined Reason = "Quarantined"
	// PoolEvacuated: all endpoints of a pool that the request needs are in evacuated failure domains.
	PoolEvacuated Reason = "PoolEvacuated"
	// EndpointsCold: the endpoints have just started and can handle no more requests now.
	EndpointsCold Reason = "EndpointsCold"
	// EndpointsCapped: the rate caps that the endpoints state allow no more requests now.
	EndpointsCapped Reason = "EndpointsCapped"
	// NoHome: no endpoint of a pool that the request needs is in a region that both its route and its customer allow.
	NoHome Reason = "NoHome"
	// EndpointRefused: the endpoint did not run the request, and no other endpoint could be tried.
	EndpointRefused Reason = "EndpointRefused"
)

// The reasons for retries of stage calls.
const (
	RetryRefused  Reason = "RetryRefused"
	RetryCut      Reason = "RetryCut"
	RetrySilent   Reason = "RetrySilent"
	RetryStatus   Reason = "RetryStatus"
	RetryMismatch Reason = "RetryMismatch"
	RetryHedge    Reason = "RetryHedge"
	RetryResume   Reason = "RetryResume"
	// RetryNotRun: the endpoint reported that it did not run the call.
	RetryNotRun Reason = "RetryNotRun"
	// RetryWithdrawn: the endpoint became ineligible for work after it was chosen; nothing was sent.
	RetryWithdrawn Reason = "RetryWithdrawn"
	// RetryPiece: a piece was processed again because its result or an input was lost.
	RetryPiece Reason = "RetryPiece"
)

// Refusal is the error that ends a request without a complete answer.
type Refusal struct {
	// Verdict is never Ran.
	Verdict Verdict
	Reason  Reason
	// RetryAfter is how long the caller should wait before it retries; zero if a retry is of no use.
	RetryAfter time.Duration
	// Detail is an explanation for the caller.
	Detail string
}

// NewRefusal returns a refusal with the given fields.
func NewRefusal(verdict Verdict, reason Reason, retryAfter time.Duration, detail string) *Refusal {
	return &Refusal{Verdict: verdict, Reason: reason, RetryAfter: retryAfter, Detail: detail}
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.Verdict, r.Detail)
}

// WithVerdict returns a copy of the refusal with the given verdict.
func (r Refusal) WithVerdict(v Verdict) *Refusal {
	r.Verdict = v
	return &r
}

// AsRefusal returns the refusal that err wraps. An error that wraps none does not tell
// what ran, so the result is a refusal with the verdict MayHaveRun.
func AsRefusal(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return NewRefusal(MayHaveRun, StageFailed, time.Second, err.Error())
}
