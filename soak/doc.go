// Package soak runs nodes as separate processes, injects random faults from outside and checks the guarantees against
// what callers and endpoints observe. All code is in the package's test. To run further seeds:
//
//	go test ./soak -run TestSoak -args -first 1000 -seeds 50 -for 10s
package soak
