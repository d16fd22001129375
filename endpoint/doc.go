// Package endpoint speaks HTTP to the endpoints: unary calls with JSON both ways, and token
// streams as lines of JSON. Each error says by its verdict whether the call may have run, on
// the evidence of what was written to the connection.
package endpoint
