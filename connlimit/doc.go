// Package connlimit applies the decisions of package held to the connections of callers: it counts what the node holds for
// them, in the process and in the kernel, and closes those that do not read.
package connlimit
