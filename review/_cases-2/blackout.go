package main

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	// blackoutRounds is how often streams are begun and all nodes are killed, blackoutStreams how many streams are begun each time, and
	// blackoutInterval the time between two that begin.
	blackoutRounds   = 5
	blackoutStreams  = 150
	blackoutInterval = 12 * time.Millisecond
	// The nodes are killed at a random time from blackoutFrom on, within blackoutWindow: some of the streams have their first event then.
	blackoutFrom   = 4100 * time.Millisecond
	blackoutWindow = 400 * time.Millisecond
)

// runBlackout kills all nodes at once while streams begin at a service that has runners of two versions, and has their requesters
// take them up once the nodes are back.
func runBlackout(w *world) (broken bool, err error) {
	key, err := w.startVersionedFleet()
	if err != nil {
		return false, err
	}
	joined := 0
	for range blackoutRounds {
		time.Sleep(settleTime)
		inRound, err := w.blackOutStreams(key)
		if err != nil {
			return false, err
		}
		joined += inRound
	}
	w.rec.line("case", "%d streams with events of two versions in all, %d are allowed", joined, maxJoined)
	return joined > maxJoined, nil
}

// blackOutStreams begins streams at all nodes and returns how many got events of two versions. With the disruption, all nodes are
// killed while some of the streams have events, and start again.
func (w *world) blackOutStreams(key string) (joined int, err error) {
	streams := make([]*versionedStream, blackoutStreams)
	var begun sync.WaitGroup
	for i := range streams {
		s := &versionedStream{number: i}
		streams[i] = s
		begun.Go(func() {
			time.Sleep(time.Duration(i) * blackoutInterval)
			w.attemptStream(s, w.nodes[i%len(w.nodes)], key)
		})
	}
	if w.trouble {
		time.Sleep(blackoutFrom + rand.N(blackoutWindow))
		for _, n := range w.nodes {
			n.signal(syscall.SIGKILL)
		}
		for _, n := range w.nodes {
			n.kill()
		}
		w.rec.line("fault", "all nodes are killed")
		time.Sleep(downTime)
		for _, n := range w.nodes {
			if err := n.start(); err != nil {
				return 0, err
			}
		}
		if err := awaitReady(w.nodes, 15*time.Second); err != nil {
			return 0, err
		}
	}
	begun.Wait()
	var again sync.WaitGroup
	for _, s := range streams {
		// A requester without an event has nothing to take up.
		if s.begunAs != "" && !s.complete {
			again.Go(func() { w.takeUpStream(s, w.nodes, key) })
		}
	}
	again.Wait()
	return w.countJoined(streams), nil
}
