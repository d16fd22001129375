package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// orderClients is the number of clients that post orders, each one after the other, and orderPause the pause between
	// two orders of one.
	orderClients = 16
	orderPause   = 40 * time.Millisecond
	// placeCount is the number of runners of the service.
	placeCount = 3
	// restartInterval is the time from one crash to the next, restartCount their number, and downTime how long nothing
	// listens at the address of a crashed runner.
	restartInterval = 4500 * time.Millisecond
	restartCount    = 20
	downTime        = 20 * time.Millisecond
	// doubledEvery is after how many answers a faulty runner sends one twice: a share of less than 0.03.
	doubledEvery = 34
	// faultyPlaces is the number of places whose runners do so: a share of 0.6 of three, rounded.
	faultyPlaces = 2
)

// ranTwice posts orders, which must run at most once, while the runners crash and start again at their addresses, one
// after the other, and two of the three send a few of their answers twice. It breaks TWICE if an order runs twice.
func ranTwice(r *record, trouble bool) int {
	s, err := newSite(r, manifest("portal", "unsafe", 1500*time.Millisecond, 1))
	if err != nil {
		r.verdict("the case can't run: %v", err)
		return exitCannotRun
	}
	defer s.close()
	places, err := s.startPlaces(trouble)
	if err != nil {
		r.verdict("the case can't run: %v", err)
		return exitCannotRun
	}
	if err := s.startNodes(2); err != nil {
		r.verdict("the case can't run: %v", err)
		return exitCannotRun
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	served := make([]int, orderClients)
	for i := range orderClients {
		clients.Go(func() { served[i] = s.postOrders(i, stop) })
	}
	for n := range restartCount {
		time.Sleep(restartInterval)
		if trouble {
			if err := places[n%placeCount].restart(); err != nil {
				r.verdict("the case can't run: %v", err)
				close(stop)
				return exitCannotRun
			}
		}
	}
	close(stop)
	clients.Wait()
	return judgeTwice(r, places, served)
}

// startPlaces starts a runner at each place.
func (s *site) startPlaces(trouble bool) ([]*place, error) {
	var places []*place
	for i := range placeCount {
		ip := fmt.Sprintf("127.%d.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250), 100+i)
		p, err := newPlace(s, "portal", fmt.Sprintf("i-portal-%d", i+1), ip)
		if err != nil {
			return nil, err
		}
		if trouble && i < faultyPlaces {
			p.doubleEvery = doubledEvery
		}
		if err := p.start(p.name()); err != nil {
			return nil, err
		}
		places = append(places, p)
	}
	return places, nil
}

// name returns the first part of the IDs of the place's runners.
func (p *place) name() string { return "i-" + p.address }

// restart crashes the runner and starts another one at the address a moment later.
func (p *place) restart() error {
	p.crash()
	time.Sleep(downTime)
	return p.start(p.name())
}

// postOrders posts one order after the other until stop is closed, each on a new channel to one of the nodes. It returns
// how many were answered with success.
func (s *site) postOrders(client int, stop <-chan struct{}) int {
	served := 0
	for i := 0; ; i++ {
		select {
		case <-stop:
			return served
		case <-time.After(orderPause):
		}
		id := fmt.Sprintf("%02x%06x%08x", client, i, time.Now().UnixNano()&0xffffffff)
		if s.post(s.nodes[(client+i)%len(s.nodes)], id, fmt.Sprintf("order %d of client %d", i, client)).status == 200 {
			served++
		}
	}
}

func judgeTwice(r *record, places []*place, served []int) int {
	ran := map[string][]string{}
	answers, doubled, wrong := 0, 0, 0
	for _, p := range places {
		p.mu.Lock()
		for id, runners := range p.ran {
			ran[id] = append(ran[id], runners...)
		}
		answers, doubled, wrong = answers+p.answers, doubled+p.doubled, wrong+p.wrong
		p.mu.Unlock()
	}
	twice := 0
	for id, runners := range ran {
		if len(runners) > 1 {
			twice++
			r.write("TWICE: request %s ran at %v", id, runners)
		}
	}
	total := 0
	for _, n := range served {
		total += n
	}
	r.verdict("%d orders served, %d ran, %d ran more than once; of %d answers of runners, %d were 421 and %d were sent twice", total, len(ran), twice, answers, wrong, doubled)
	switch {
	case total < len(ran)/2 || total == 0:
		r.verdict("the case can't run: too few orders were served")
		return exitCannotRun
	case twice > 0:
		return exitBroken
	default:
		return exitHeld
	}
}
