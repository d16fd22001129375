// Package model defines the data types that the other packages exchange: requests, answers,
// verdicts, settings documents and endpoints. It does no I/O and makes no decisions.
//
// Two kinds of requests are served. A Request runs through the stages of a Pipeline, each of which is a StageCall to an
// endpoint of the stage's pool. A Forward is a request that is proxied unchanged to an endpoint of the pool that its
// Route selects. The route may have stages too: their work is split into pieces. One node is the batcher of a
// pool, or of a pool's endpoints in one region: it collects the pieces of all nodes and sends them to the endpoints in
// batches.
package model
