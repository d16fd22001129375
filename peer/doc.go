// Package peer implements the protocol between nodes: TCP connections that carry msgpack frames, each preceded by its
// length in four bytes. Concurrent calls share a connection; a call and its reply have the same number. The verdict of
// a CallError tells whether the peer may have handled the call.
package peer
