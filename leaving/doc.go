// Package leaving decides which requests a node still accepts before it stops, from how long the requests before them took. It
// does no I/O and does not read the clock.
package leaving
