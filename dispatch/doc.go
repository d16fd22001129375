// Package dispatch sends stage calls to the endpoints of their pools. Package kernel has the policies: which endpoint
// gets a call, how many calls may be in flight, what is retried, and how long a call may go without progress. This
// package holds the state of each pool and makes the calls.
package dispatch
