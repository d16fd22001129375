// Package soak runs nodes as separate processes under random faults that are injected from outside,
// and checks the promises from what callers and endpoints see. All of it is in its test; by hand:
//
//	go test ./soak -run TestSoak -args -first 1000 -seeds 50 -for 10s
package soak
