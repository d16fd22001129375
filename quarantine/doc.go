// Package quarantine holds back requests that crash the endpoints that run them. A node that finds that an endpoint's
// process ended while it worked on requests reports the crash to the coordinator of the pool, which is the same node
// for all. The coordinator counts the crashes of each of these requests, the suspects, and decides which one is the
// cause (see kernel.Quarantine). Its decisions are written to the store, which all nodes follow, and each node then
// refuses a request that is held back at once. After kernel.HoldTime, or if the cause is not certain, such a request
// may run on trial, one at a time in each pool, with the coordinator's permission. A complete answer clears it. While
// no endpoint crashes, nothing is sent.
//
// A request is identified by its digest, which its retries have in common.
package quarantine
