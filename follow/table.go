package follow

import (
	"context"
	"fmt"
	"time"

	"basilstall.example/basilstall/kernel"
)

type (
	// Table is a table to follow. Its functions are called by one goroutine at a time.
	Table struct {
		Name string
		// Hold is how long the store may hold a question for changes; Pause is the time between
		// two questions.
		Hold         time.Duration
		PollInterval time.Duration
		// Undated tells that what the table says is acted on however long ago it was proven: it does not count where it
		// is decided who reads the store, and at their start nodes have it from those that do.
		IgnoreAge bool
		// Apply takes in what is news, and the time at which the table was last proven current.
		Apply func(provenAt time.Time, news []kernel.Row)
	}

	// Store is how the platform's store is read.
	Store struct {
		// Whole returns all rows of a table and the version that they are of.
		ReadAll func(ctx context.Context, table string) (Answer, error)
		// Changes returns what changed after a version, waiting for the first change.
		ReadChanges func(ctx context.Context, table string, after uint64, hold time.Duration) (Answer, error)
	}

	// Answer is what the store answered about a table.
	Answer struct {
		Rows []kernel.Row
		// Version is what the table is known at.
		Version uint64
		// Bytes is the answer's size, and Transfer how long it took from its first byte on.
		Bytes    int64
		Transfer time.Duration
	}

	// TruncatedError is the error of an answer that did not come whole.
	TruncatedError struct {
		// Received is how many bytes had come, and Transfer in which time.
		Received int64
		Transfer time.Duration
		Err      error
	}
)

// Error implements error.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("follow: the answer broke off after %d bytes: %v", e.Received, e.Err)
}

// Unwrap returns the cause.
func (e *TruncatedError) Unwrap() error {
	return e.Err
}
