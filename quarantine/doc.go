// Package quarantine holds back requests that crash the endpoints that run them. A node that finds that an
// endpoint's process ended while it worked on requests reports the crash to the coordinator of the pool, which is
// the same node for all. The coordinator counts crashes and decides (kernel.Quarantine). Its decisions are written
// to the store, which all nodes follow, and each node then refuses the request at once. While no endpoint crashes,
// nothing is sent.
package quarantine
