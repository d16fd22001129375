// Package model holds the plain values that the other packages exchange: requests, answers,
// verdicts, settings documents and endpoints. It does no I/O and decides nothing.
package model
