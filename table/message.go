package table

import (
	"fmt"
	"strings"

	"github.com/go-faster/errors"
)

// Paths of the platform's HTTP protocol.
const (
	RowsPath         = "/table/rows"
	TransactionsPath = "/table/transactions"
)

type (
	// Row is one row. Version is the number of the transaction that wrote it, never zero.
	Row struct {
		Key     string
		Version uint64
		Value   []byte
	}

	// Condition holds if the row has just this version; zero means that there is no row.
	Condition struct {
		Key     string
		Version uint64
	}

	// Write sets a row.
	Write struct {
		Key   string
		Value []byte
	}

	// Transaction writes all its rows if all its conditions hold, else none.
	Transaction struct {
		Conditions []Condition
		Writes     []Write
	}

	// Committed answers a transaction that took effect.
	Committed struct {
		Version uint64
	}

	// Conflict answers a transaction that did not: the keys whose conditions failed.
	Conflict struct {
		Keys []string
	}
)

// The errors of calls to the table.
var (
	// ErrNotFound: there is no such row.
	ErrNotFound = errors.New("table: no such row")
	// ErrUnavailable: the service was not reached or said that it did nothing.
	ErrUnavailable = errors.New("table: the service is not available")
	// ErrUnknown: the answer is lost; a write may have taken effect.
	ErrUnknown = errors.New("table: the answer was lost")
)

// Error implements error.
func (c *Conflict) Error() string {
	return fmt.Sprintf("table: conflict on %s", strings.Join(c.Keys, ", "))
}
