// Package caller implements the HTTP API for callers. The server parses and validates requests, passes them to the
// node, and writes answers, streams and refusals. The client sends requests.
package caller
