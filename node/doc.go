// Package node joins the parts of one process: it takes callers' requests, runs pipelines,
// owns keys, keeps the claims, follows the settings and the list, speaks with other nodes, and
// drains. The decisions are the kernel's.
package node
