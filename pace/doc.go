// Package pace estimates how slow the endpoints of a pool are from the responses that a node gets from them. It does no
// I/O and does not read the clock.
package pace
