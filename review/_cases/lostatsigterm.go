package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// slowWork is how long the runners of the service need for each request, always: it is no disruption. slowTimeout is
	// the timeout_ms of their route, and slowDeadline the deadline of its clients.
	slowWork     = 3500 * time.Millisecond
	slowTimeout  = 6 * time.Second
	slowDeadline = 6 * time.Second
	// keptChannels is the number of channels that the clients keep open to the node that is stopped. The first request on
	// each is answered before the SIGTERM.
	keptChannels = 12
	// firstSend and sendInterval set when the second request of each channel is sent after the SIGTERM: all of them more
	// than the 3 s after it within which the rule excuses a request that is still running at the end.
	firstSend    = 3300 * time.Millisecond
	sendInterval = 200 * time.Millisecond
)

// keptRequest is the second request of a kept channel.
type keptRequest struct {
	id     string
	sentAt time.Duration
	// endedAt is when its answer came or its channel ended, after the SIGTERM.
	endedAt time.Duration
	answer  answer
}

// lostAtSigterm stops one of two nodes with SIGTERM, as at a planned restart, while clients go on to use their kept
// channels. It breaks LOST if a request that was passed on to a runner ends with its channel and without an answer,
// unless the rule excuses it.
func lostAtSigterm(r *record, trouble bool) int {
	s, err := newSite(r, manifest("reports", "unsafe", slowTimeout, 1))
	if err != nil {
		r.verdict("the case can't run: %v", err)
		return exitCannotRun
	}
	defer s.close()
	var runners []*runner
	for i := range 3 {
		runners = append(runners, newRunner(r, fmt.Sprintf("i-reports-%d", i+1), slowWork))
	}
	s.list("reports", runners)
	if err := s.startNodes(2); err != nil {
		r.verdict("the case can't run: %v", err)
		return exitCannotRun
	}
	channels, err := s.openChannels()
	if err != nil {
		r.verdict("the case can't run: %v", err)
		return exitCannotRun
	}
	stopped := s.nodes[0]
	if trouble {
		_ = stopped.process.Process.Signal(syscall.SIGTERM)
		r.write("SIGTERM to %s", stopped.name)
	}
	requests := s.useChannels(channels, time.Now())
	byID, _ := runs(runners)
	return judgeLost(r, requests, byID)
}

// openChannels opens the kept channels, each of which carries one request that is answered.
func (s *site) openChannels() ([]*channel, error) {
	channels := make([]*channel, keptChannels)
	errs := make([]error, keptChannels)
	var all sync.WaitGroup
	for i := range channels {
		all.Go(func() {
			c, err := dial(s.nodes[0].frontend)
			if err != nil {
				errs[i] = err
				return
			}
			channels[i] = c
			id := fmt.Sprintf("%04x00%010x", i, time.Now().UnixNano()&0xffffffffff)
			a := c.send(id, fmt.Sprintf("first of channel %02d", i), slowDeadline)
			s.record.write("client gets for request %s, the first of channel %02d: %v", id, i, a)
			if a.status != 200 || a.closes {
				errs[i] = fmt.Errorf("the first request of channel %d: %v", i, a)
			}
		})
	}
	all.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return channels, nil
}

// useChannels sends the second request of each channel and waits for all answers.
func (s *site) useChannels(channels []*channel, stoppedAt time.Time) []keptRequest {
	requests := make([]keptRequest, len(channels))
	var all sync.WaitGroup
	for i, c := range channels {
		all.Go(func() {
			defer c.conn.Close()
			time.Sleep(time.Until(stoppedAt.Add(firstSend + time.Duration(i)*sendInterval)))
			q := &requests[i]
			q.id = fmt.Sprintf("%04x01%010x", i, time.Now().UnixNano()&0xffffffffff)
			q.sentAt = time.Since(stoppedAt)
			s.record.write("client sends request %s on channel %02d, %.2f s after the SIGTERM", q.id, i, q.sentAt.Seconds())
			q.answer = c.send(q.id, fmt.Sprintf("second of channel %02d", i), slowDeadline)
			q.endedAt = time.Since(stoppedAt)
			s.record.write("client gets for request %s, %.2f s after the SIGTERM: %v", q.id, q.endedAt.Seconds(), q.answer)
		})
	}
	all.Wait()
	return requests
}

// judgeLost counts the requests that were passed on and ended without an answer, before their deadline and their
// route's timeout, and that were sent more than 3 s after the SIGTERM.
func judgeLost(r *record, requests []keptRequest, byID map[string]int) int {
	const excusedSend = 3 * time.Second
	answered, refused, lost := 0, 0, 0
	for _, q := range requests {
		inTime := q.endedAt-q.sentAt < min(slowTimeout, slowDeadline)-100*time.Millisecond
		switch {
		case q.answer.status == 200:
			answered++
		case promisesNotRun(q.answer.status):
			refused++
		case q.answer.status == 0 && byID[q.id] > 0 && inTime && q.sentAt > excusedSend && q.endedAt < gracePeriod+time.Second:
			lost++
			r.write("LOST: request %s, sent at %.2f s, was passed on to a runner; its channel ended at %.2f s without an answer", q.id, q.sentAt.Seconds(), q.endedAt.Seconds())
		}
	}
	r.verdict("%d requests on kept channels: %d answered, %d refused as not run, %d passed on and lost", len(requests), answered, refused, lost)
	switch {
	case lost > 0:
		return exitBroken
	default:
		return exitHeld
	}
}
