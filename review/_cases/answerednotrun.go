package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// ticketCount is the number of tickets that the clients post, one every ticketInterval, and ticketDeadline how long a
	// client waits for the answer to one.
	ticketCount    = 120
	ticketInterval = 60 * time.Millisecond
	ticketDeadline = 3 * time.Second
	// portalRunners is the number of runners of the service, and greyRunner the one that fails a part of its requests: one
	// of three, as a share of 0.15 gives. It fails two of five: the share 0.4 of the disruption.
	portalRunners = 3
	greyRunner    = 0
)

// answeredNotRun posts tickets, which must run at most once, while one runner fails part of them with 429 after it has
// run them. It breaks REFUSED if a ticket that has run is answered with a status that promises that it has not.
func answeredNotRun(r *record, trouble bool) int {
	s, err := newSite(r, manifest("portal", "unsafe", 1500*time.Millisecond, 1))
	if err != nil {
		r.verdict("the case can't run: %v", err)
		return exitCannotRun
	}
	defer s.close()
	var runners []*runner
	for i := range portalRunners {
		runners = append(runners, newRunner(r, fmt.Sprintf("i-portal-%d", i+1), 20*time.Millisecond))
	}
	if trouble {
		runners[greyRunner].fail = func(n int) int {
			if n%5 < 2 {
				return http.StatusTooManyRequests
			}
			return 0
		}
	}
	s.list("portal", runners)
	if err := s.startNodes(2); err != nil {
		r.verdict("the case can't run: %v", err)
		return exitCannotRun
	}
	promised := s.postTickets()
	byID, bySubject := runs(runners)
	return judgePromises(r, promised, byID, bySubject)
}

// postTickets posts all tickets, each on a new channel, to the nodes in turn. A ticket that was refused as not run is
// posted once more, as an attempt with an ID of its own. It returns the status of each attempt that promises so.
func (s *site) postTickets() map[string]int {
	promised := map[string]int{}
	for i := range ticketCount {
		subject := fmt.Sprintf("ticket %03d", i)
		for attempt := range 2 {
			id := fmt.Sprintf("%04x%04x%08x", i, attempt, time.Now().UnixNano()&0xffffffff)
			a := s.post(s.nodes[(i+attempt)%len(s.nodes)], id, subject)
			if !promisesNotRun(a.status) {
				break
			}
			promised[id] = a.status
		}
		time.Sleep(ticketInterval)
	}
	return promised
}

func (s *site) post(n *node, id, subject string) answer {
	c, err := dial(n.frontend)
	if err != nil {
		return answer{err: err}
	}
	defer c.conn.Close()
	s.record.write("client sends request %s (%s) to %s", id, subject, n.name)
	a := c.send(id, subject, ticketDeadline)
	s.record.write("client gets for request %s: %v", id, a)
	return a
}

// promisesNotRun reports whether a status promises that the request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

func judgePromises(r *record, promised, byID, bySubject map[string]int) int {
	broken := 0
	for id, status := range promised {
		if byID[id] > 0 {
			broken++
			r.write("REFUSED: request %s was answered %d and has run", id, status)
		}
	}
	twice := 0
	for subject, n := range bySubject {
		if n > 1 {
			twice++
			r.write("%s ran %d times", subject, n)
		}
	}
	r.verdict("%d runs, %d attempts answered as not run, %d of these had run; %d tickets ran more than once", len(byID), len(promised), broken, twice)
	switch {
	case len(byID) < ticketCount/2:
		r.verdict("the case can't run: fewer than half of the tickets were served")
		return exitCannotRun
	case broken > 0:
		return exitBroken
	default:
		return exitHeld
	}
}
