// Package endpoint is the HTTP client for endpoints. A Client makes unary calls with JSON requests and replies, and
// calls that are answered by a stream of tokens, one JSON object per line. An Exchanger sends requests of any kind. The
// verdict of each error tells whether the call may have run, judged by whether anything was written to the connection.
package endpoint
