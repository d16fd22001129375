package relay

import (
	"context"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/model"
)

// Why a stream that had begun did not go on at another engine.
const (
	// barredByRefusal is a refusal of the node itself, of the last attempt.
	barredByRefusal resumptionBar = "Refusal"
	// barredByInputs are results of stages that are gone for every engine.
	barredByInputs resumptionBar = "Inputs"
	// barredByRoute is a route that does not allow it.
	barredByRoute resumptionBar = "Route"
	// barredByPosition is a stream of which nobody knows after which event, or at which version, it has to go on.
	barredByPosition resumptionBar = "Position"
	// barredByAttempts is a request that was sent to as many endpoints as its route allows.
	barredByAttempts resumptionBar = "Attempts"
	// barredByBudget is a retry budget that is used up.
	barredByBudget resumptionBar = "Budget"
	// barredByEngines is a pool without an engine that the request may be sent to.
	barredByEngines resumptionBar = "Engines"
)

type (
	// resumptionBar is why a stream that had begun did not go on at another engine; empty if it did or ended.
	resumptionBar string

	// cancelledError is the error of an attempt that this node has cancelled.
	cancelledError struct {
		cause error
		err   error
	}
)

// Error implements error.
func (e *cancelledError) Error() string {
	return e.cause.Error() + ": " + e.err.Error()
}

// Unwrap returns both errors.
func (e *cancelledError) Unwrap() []error {
	return []error{e.cause, e.err}
}

// endedBy returns what ended an attempt at a stream, as it is logged.
func endedBy(err error) string {
	var cancelled *cancelledError
	switch {
	case errors.Is(err, errStreamIdle):
		return "Silence"
	case errors.Is(err, errEndpointRestarted):
		return "StartedAgain"
	case errors.Is(err, context.DeadlineExceeded):
		return "Deadline"
	case errors.As(err, &cancelled):
		return "Caller"
	default:
		return "Engine"
	}
}

// allowStreamRetry reports whether another engine may be tried, and counts the retry.
func (j *job) allowStreamRetry(p *pool, state *streamState, run *stageRun, result streamResult) bool {
	state.barred = ""
	var refusal *model.Refusal
	if errors.As(result.err, &refusal) {
		state.barred = barredByRefusal
		return j.triesOwnPath(p, refusal)
	}
	lost := j.forNode == "" && j.sendsThroughNode(p)
	if !lost && (run.inputsReleased || (result.reply != nil && result.reply.InputsGone)) {
		// The inputs are gone for any other engine as well. Another node makes them anew.
		state.barred = barredByInputs
		return false
	}
	reason := model.RetryNotRun
	if result.err != nil {
		fault := asFault(result.err)
		reason = fault.RetryReason()
		if fault.Verdict == model.NotRun {
			j.attempts--
		}
	} else if result.reply != nil && result.reply.Misdirected {
		j.attempts--
	}
	if j.mayHaveRun && !j.admission.Route.Resumable {
		state.barred = barredByRoute
		return false
	}
	if state.headerSent && (state.splitter.lastID == "" || !j.admission.Bound) {
		state.barred = barredByPosition
		return false
	}
	if j.isFirstSend(result.err) {
		return true
	}
	if j.attempts >= j.admission.Route.MaxAttempts {
		state.barred = barredByAttempts
		return false
	}
	if !j.takeRetry(p, result.err) {
		state.barred = barredByBudget
		return false
	}
	if state.headerSent {
		reason = model.RetryResume
	}
	j.relay.metrics.CountRetry(reason, p.name)
	return true
}
