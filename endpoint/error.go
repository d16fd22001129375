package endpoint

import (
	"fmt"

	"basilstall.example/basilstall/model"
)

// FaultKind is the way in which a call failed.
type FaultKind string

// The kinds of faults.
const (
	// Refused means that no connection could be opened. Nothing was written.
	Refused FaultKind = "Refused"
	// Cut means that the connection broke after it was opened.
	Cut FaultKind = "Cut"
	// Silent means that the call made no progress within its timeout, or that an exchange had no reply by the deadline
	// of its context.
	Silent FaultKind = "Silent"
	// Status means that the endpoint answered with an error or an invalid reply.
	Status FaultKind = "Status"
	// Mismatch means that the reply belongs to another call, that what came until the context ended is no reply, or that
	// tokens of a stream are missing.
	Mismatch FaultKind = "Mismatch"
	// NotLoaded means that the engine lacks the adapter and did not run the call.
	NotLoaded FaultKind = "NotLoaded"
	// Cancelled means that the context of the call ended, or that the call had no connection by Target.ConnectBy.
	Cancelled FaultKind = "Cancelled"
	// Withdrawn means that the endpoint stopped accepting work after it was chosen.
	Withdrawn FaultKind = "Withdrawn"
)

// Fault is the error of a failed call.
type Fault struct {
	Kind FaultKind
	// Verdict is NotRun only if no byte of the call was written or the endpoint states that the call did not run.
	Verdict model.Verdict
	// Reused is true if the connection had been kept open since an earlier call, or since Exchanger.Connect.
	Reused bool
	// Load is what the endpoint states of itself in its answer; nil if there is no answer.
	Load *model.Load
	Err  error
}

// Error implements error.
func (f *Fault) Error() string {
	return fmt.Sprintf("endpoint: %s (%s): %v", f.Kind, f.Verdict, f.Err)
}

// Unwrap returns the cause.
func (f *Fault) Unwrap() error {
	return f.Err
}

// RetryReason returns the reason under which a retry after this fault is counted.
func (f *Fault) RetryReason() model.Reason {
	switch f.Kind {
	case Refused:
		return model.RetryRefused
	case Silent:
		return model.RetrySilent
	case Status:
		return model.RetryStatus
	case Mismatch:
		return model.RetryMismatch
	case Withdrawn:
		return model.RetryWithdrawn
	default:
		return model.RetryCut
	}
}
