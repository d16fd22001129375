// Package reach holds what a node believes of its own paths to the endpoints of pools, and of the nodes that send
// requests in its place where a path is lost. The decisions are in package kernel.
package reach
