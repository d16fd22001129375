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
	// NotRun: no endpoint has run or will run this attempt, so that it may be retried. Of a pipeline, no stage has run;
	// of a forwarded request, pieces of its route's stages may have been processed, which may be repeated.
	NotRun Verdict = "NotRun"
	// MayHaveRun: a part of the request ran, or it is not known that none did or will.
	MayHaveRun Verdict = "MayHaveRun"
	// Ran: the request ran to completion.
	Ran Verdict = "Ran"
)

// The reasons for refusals.
const (
	BadRequest   Reason = "BadRequest"
	Unauthorized Reason = "Unauthorized"
	// UnknownPipeline: no pipeline has the name, or no route matches.
	UnknownPipeline Reason = "UnknownPipeline"
	DeadlinePassed  Reason = "DeadlinePassed"
	// CannotFinish: the request would not finish before its deadline, as estimated on arrival.
	CannotFinish Reason = "CannotFinish"
	// Overloaded: no slot of a pool became free in time.
	Overloaded    Reason = "Overloaded"
	CustomerLimit Reason = "CustomerLimit"
	Draining      Reason = "Draining"
	// NotReady: the node has no routing yet.
	NotReady     Reason = "NotReady"
	NoEndpoint   Reason = "NoEndpoint"
	StageFailed  Reason = "StageFailed"
	StageTimeout Reason = "StageTimeout"
	CallerGone   Reason = "CallerGone"
	// OwnerUnreachable: the node that decides on the key, or on the customer's rate, does not answer.
	OwnerUnreachable Reason = "OwnerUnreachable"
	// OwnerUnknown: the node that the key was sent to does not own it.
	OwnerUnknown Reason = "OwnerUnknown"
	// KeyAhead: the key was issued later than the time up to which nodes may run keys now.
	KeyAhead Reason = "KeyAhead"
	// KeyTooOld: the key was issued longer ago than keys are kept.
	KeyTooOld Reason = "KeyTooOld"
	// KeyClosed: an attempt with this number or a higher one was refused with the key.
	KeyClosed Reason = "KeyClosed"
	// KeyMismatch: the key was used for a different request.
	KeyMismatch Reason = "KeyMismatch"
	// OutcomeUnknown: the key was used before, and it is not known whether its request ran.
	OutcomeUnknown Reason = "OutcomeUnknown"
	// TableUnavailable: the table does not answer whether a durable key was used.
	TableUnavailable Reason = "TableUnavailable"
	// AdapterNotLoaded: no engine had loaded the adapter in time.
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
	// EndpointsPaused: all endpoints of a pool that the request needs have asked this node for a pause.
	EndpointsPaused Reason = "EndpointsPaused"
	// EndpointsCold: the endpoints have just started and can handle no more requests now.
	EndpointsCold Reason = "EndpointsCold"
	// EndpointsCapped: the rate caps that the endpoints state allow no more requests now.
	EndpointsCapped Reason = "EndpointsCapped"
	// EndpointsBrittle: the endpoints end if they have to refuse more than a few requests, and take no more now.
	EndpointsBrittle Reason = "EndpointsBrittle"
	// EndpointsUnreachable: this node reaches no endpoint of a pool, and knows no node that does.
	EndpointsUnreachable Reason = "EndpointsUnreachable"
	// NoHome: no endpoint of a pool that the request needs is in a region that both its route and its customer allow.
	NoHome Reason = "NoHome"
	// StreamUnknown: it is not known at which version of its endpoints the stream began that the request resumes.
	StreamUnknown Reason = "StreamUnknown"
	// VersionGone: no endpoint of the version at which the stream began takes work.
	VersionGone Reason = "VersionGone"
	// RoutingUnread: the part of the routing that decides on the request could not be decoded.
	RoutingUnread Reason = "RoutingUnread"
	// PiecesUnmakable: the workers of a stage cannot make as many pieces as the request states.
	PiecesUnmakable Reason = "PiecesUnmakable"
	// NodeFull: the node holds as many bytes of requests and answers as it may.
	NodeFull Reason = "NodeFull"
	// EndpointRefused: the endpoint did not run the request, and no other endpoint could be tried.
	EndpointRefused Reason = "EndpointRefused"
	// OverShare: the customer asks for more than its share of a pool, and the share cannot serve the request in time.
	OverShare Reason = "OverShare"
)

// The reasons for retries of stage calls.
const (
	// RetryRefused: no connection could be opened.
	RetryRefused Reason = "RetryRefused"
	// RetryCut: the connection broke after it was opened, or the call failed in a way that has no reason of its own.
	RetryCut Reason = "RetryCut"
	// RetrySilent: the call made no progress within its timeout.
	RetrySilent Reason = "RetrySilent"
	// RetryStatus: the endpoint answered with an error or an invalid reply.
	RetryStatus Reason = "RetryStatus"
	// RetryMismatch: the reply belongs to another call, or tokens of a stream are missing.
	RetryMismatch Reason = "RetryMismatch"
	// RetryHedge: a slow call was repeated at another endpoint while it still ran.
	RetryHedge Reason = "RetryHedge"
	// RetryResume: a stream that had already begun was continued by another call.
	RetryResume Reason = "RetryResume"
	// RetryNotRun: the endpoint reported that it did not run the call.
	RetryNotRun Reason = "RetryNotRun"
	// RetryWithdrawn: the endpoint became ineligible for work after it was chosen; nothing was sent.
	RetryWithdrawn Reason = "RetryWithdrawn"
	// RetryNode: the node that sent the call in this node's place did not answer.
	RetryNode Reason = "RetryNode"
	// RetryPiece: a piece was processed again because its result or an input was lost.
	RetryPiece Reason = "RetryPiece"
)

// Refusal is the error that ends a request without a complete answer.
type Refusal struct {
	// Verdict is never Ran.
	Verdict Verdict
	Reason  Reason
	// RetryAfter is how long the caller should wait before it retries; zero if no retry is advised.
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
