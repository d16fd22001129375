// Package model defines the data types that the other packages exchange: requests, answers,
// verdicts, settings documents and endpoints. It does no I/O and makes no decisions.
package model
