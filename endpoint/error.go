package endpoint

import (
	"fmt"

	"basilstall.example/basilstall/model"
)

// FaultKind names how a call failed.
type FaultKind string

// The kinds of faults.
const (
	// Refused: no connection; nothing was written.
	Refused FaultKind = "Refused"
	// Cut: the connection broke after it was open.
	Cut FaultKind = "Cut"
	// Silent: no progress within the timeout.
	Silent FaultKind = "Silent"
	// Status: the endpoint answered with an error.
	Status FaultKind = "Status"
	// Mismatch: the reply belongs to another call.
	Mismatch FaultKind = "Mismatch"
	// NotLoaded: the engine lacks the adapter and did nothing.
	NotLoaded FaultKind = "NotLoaded"
	// Cancelled: the caller of this package gave up.
	Cancelled FaultKind = "Cancelled"
	// Withdrawn: the endpoint may get no more work since it was chosen.
	Withdrawn FaultKind = "Withdrawn"
)

// Fault is the error of a failed call.
type Fault struct {
	Kind FaultKind
	// Verdict is NotRun only if no byte of the call was written or the endpoint says so.
	Verdict model.Verdict
	// Reused is true where the connection had carried earlier calls.
	Reused bool
	Err    error
}

// Error implements error.
func (f *Fault) Error() string {
	return fmt.Sprintf("endpoint: %s (%s): %v", f.Kind, f.Verdict, f.Err)
}

// Unwrap returns the cause.
func (f *Fault) Unwrap() error {
	return f.Err
}

// RetryReason returns the counter's name for a repetition after this fault.
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
