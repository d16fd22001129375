// Package placement chooses, for one pool of engines, the engines for the prompts of all nodes by the expected time to
// the first event. The node that decides for a pool, its placer, holds a Table; the nodes that send the streams report to
// it what became of them. The package does no I/O; the present time is an argument.
package placement
