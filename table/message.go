package table

import (
	"fmt"
	"strings"

	"github.com/go-faster/errors"
)

// Paths of the platform's HTTP API.
const (
	RowsPath         = "/table/rows"
	TransactionsPath = "/table/transactions"
)

type (
	// Row is a row. Version is the number of the transaction that wrote it, never zero.
	Row struct {
		Key     string
		Version uint64
		Value   []byte
	}

	// Condition holds if the row has exactly this version; zero means that the row does not exist.
	Condition struct {
		Key     string
		Version uint64
	}

	// Write sets a row.
	Write struct {
		Key   string
		Value []byte
	}

	// Transaction writes all its rows if all its conditions hold, otherwise none.
	Transaction struct {
		Conditions []Condition
		Writes     []Write
	}

	// Committed is the reply to a transaction that took effect.
	Committed struct {
		Version uint64
	}

	// Conflict is the reply to a transaction that did not take effect. Keys are the keys of the conditions that failed.
	Conflict struct {
		Keys []string
	}
)

// The errors of calls to the table.
var (
	// ErrNotFound is returned if the row does not exist.
	ErrNotFound = errors.New("table: no such row")
	// ErrUnavailable is returned if the service was not reached or reported that it did nothing, and for a failed read.
	ErrUnavailable = errors.New("table: the service is not available")
	// ErrUnknown is returned if the reply to a transaction was lost: the transaction may have taken effect.
	ErrUnknown = errors.New("table: the answer was lost")
)

// Error implements error.
func (c *Conflict) Error() string {
	return fmt.Sprintf("table: conflict on %s", strings.Join(c.Keys, ", "))
}
