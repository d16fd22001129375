// Package caller speaks HTTP and JSON to callers: it parses and checks requests, hands them to
// the node, and writes answers, streams and refusals.
package caller
