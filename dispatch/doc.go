// Package dispatch carries stage calls to the endpoints of their pools. The kernel decides
// who gets a call, how many may be in flight, what is repeated and when silence counts as a
// failure; this package keeps each pool's state and makes the calls.
package dispatch
