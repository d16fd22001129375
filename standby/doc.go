// Package standby decides on the attempts at one request of which several may run at a time: when a further one begins beside
// one that is silent, and which of them goes on.
//
// Silence ends no attempt. An endpoint that sends nothing may be sound and go on, and a further one may refuse the request or have
// nothing to go on with. So the attempts run side by side, on a budget that all of them share, until one of them
// brings something for the caller: that one goes on and the others are dropped, before the caller has anything of theirs.
//
// All functions are pure; the present time is an argument.
package standby
