// Package replay sends the requests of a recorded trace in an open loop, at the times that the trace plans, and checks
// the results against required outcomes. Latencies are measured from the planned send time, so that requests sent late
// do not hide a slow system.
package replay
