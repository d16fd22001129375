// Package kernel holds the decisions of a node as plain functions and values: which node owns a key, which nodes are
// members, which endpoint gets a call, and which requests are admitted, repeated or refused. It does no I/O and starts
// no goroutine. Functions that depend on the present time take it as an argument, so that tests can set it.
//
// Types that hold a collection, such as Ledger, FairQueue and Membership, change in place, and their owner guards them
// against concurrent use. All other values are immutable and change through With methods.
package kernel
