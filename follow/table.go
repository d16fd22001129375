package follow

import (
	"context"
	"fmt"
	"time"

	"basilstall.example/basilstall/kernel"
)

type (
	// Table is a table to follow. Apply is called by one goroutine at a time.
	Table struct {
		Name string
		// MaxWait is how long the store may delay its answer to a request for changes until there are any.
		// PollInterval is the pause between two requests.
		MaxWait      time.Duration
		PollInterval time.Duration
		// IgnoreAge is true if the contents of the table stay in effect however long ago they were proven current. The
		// age of the table then does not count in the decision which nodes read the store.
		IgnoreAge bool
		// Optional is true if a node serves requests before it knows the table.
		Optional bool
		// Large is true if the table has rows that take long on a slow link. A node that is being sent one does not read it
		// from the store as well: the store's answer is not compressed, and would hold up the other one.
		Large bool
		// Membership is true for the table that each node reads from the store at its start, to find the nodes that it gets
		// the others from.
		Membership bool
		// TellsReads is true if nodes tell each other when the table was read from the store. Apply is then also called
		// when another node reports reads that are not known here yet.
		TellsReads bool
		// Apply is called with the rows that changed and what proves the table current.
		Apply func(proof kernel.TableProof, changes []kernel.Row)
	}

	// Store holds the functions that read the platform's store.
	Store struct {
		// ReadAll returns all rows of a table, and the version up to which they are complete.
		ReadAll func(ctx context.Context, table string) (Answer, error)
		// ReadChanges returns what changed after a version. If nothing did, it waits for the first change, up to maxWait. It
		// calls onHeader once the store has begun to answer.
		ReadChanges func(ctx context.Context, table string, after uint64, maxWait time.Duration, onHeader func()) (Answer, error)
		// WriteNodes writes rows of NodesTable by their keys, at most MaxWrittenRows.
		WriteNodes func(ctx context.Context, rows map[string][]byte) error
	}

	// Answer is the store's answer about a table.
	Answer struct {
		Rows []kernel.Row
		// Version is the version of the store up to which the answer describes the table.
		Version uint64
		// Bytes is the size of the answer, and Transfer the time from its first byte to its last.
		Bytes    int64
		Transfer time.Duration
	}

	// TruncatedError is the error of an answer that was received only in part.
	TruncatedError struct {
		// Received is the number of bytes that were received, and Transfer the time that they took.
		Received int64
		Transfer time.Duration
		Err      error
	}
)

// Error implements error.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("follow: answer truncated after %d bytes: %v", e.Received, e.Err)
}

// Unwrap returns the cause.
func (e *TruncatedError) Unwrap() error {
	return e.Err
}
