// Package peer speaks the protocol between the project's own nodes: TCP, frames with a length
// of four bytes, msgpack. Many calls share one connection; each call has a number that its
// reply repeats. Every error says by its verdict whether the peer may have taken the call.
package peer
