// Package replay sends a recorded trace as callers would, open loop, on the trace's own time
// line, and checks what came back against stated outcomes. Latencies count from the planned
// send time, so that a slow system cannot hide behind requests that were sent late.
package replay
