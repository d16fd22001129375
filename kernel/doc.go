// Package kernel holds every decision of a node as plain functions and values: who owns a
// key, who is a member, which endpoint gets a call, what is admitted, repeated or refused.
// It does no I/O, starts no goroutine and never asks for the time: each function that decides
// takes the present time as an argument, so that tests drive it with made-up times.
//
// Types whose name ends in a collection (Ledger, FairQueue, Membership) change in place and
// are guarded by their owner; all other values are immutable and change through With methods.
package kernel
