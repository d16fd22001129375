// Package crowd decides which connections of callers a node keeps, by what they make it hold: descriptors, receive buffers of the
// kernel, and the heads of requests.
//
// Callers are not trusted. What one sends costs it its connection, never the node its memory; and connections that bring no
// request yield to those that do, so that a crowd of them shuts nobody out. All functions are pure; the present time is an argument.
package crowd
