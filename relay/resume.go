package relay

import (
	"context"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/standby"
)

// cancelledError is the error of an attempt that this node has cancelled.
type cancelledError struct {
	cause error
	err   error
}

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
	case errors.Is(err, errOvertaken):
		return "OtherEngine"
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
		state.barred = standby.ByRefusal
		return j.triesOwnPath(p, refusal)
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
	// Another node makes inputs anew that are gone.
	lost := j.forNode == "" && j.sendsThroughNode(p)
	inputsGone := !lost && (run.inputsReleased || result.reply != nil && result.reply.InputsGone)
	if state.barred = j.barredStream(state, inputsGone).Barred(); state.barred != "" {
		return false
	}
	if j.isFirstSend(result.err) {
		return true
	}
	if !j.takeRetry(p, result.err) {
		state.barred = standby.ByBudget
		return false
	}
	if state.headerSent {
		reason = model.RetryResume
	}
	j.relay.metrics.CountRetry(reason, p.name)
	return true
}
