// Package node assembles the parts of one process. A node serves the requests of callers, runs their pipelines, runs
// each keyed request at most once, maintains the claims row, follows the settings and the platform's list, exchanges
// messages with other nodes, and drains before it stops. The decisions are made in package kernel, which does no I/O.
package node
