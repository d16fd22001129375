package relay

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/peer"
	"basilstall.example/basilstall/share"
)

const (
	// admitEndInterval is how often the ends of requests are sent, and whether the admitter still answers is checked while
	// requests wait there.
	admitEndInterval = 25 * time.Millisecond
	// admitOpenInterval is how often all open requests are reported, so that slots are freed whose ends were lost.
	admitOpenInterval = 500 * time.Millisecond
	// admitReplyTimeout is how long an admitter may not answer until its requests are sent without it.
	admitReplyTimeout = 40 * time.Millisecond
	// admittersInterval is how often the nodes that may be the admitter of a pool are determined. With 400 nodes, that takes
	// longer than a request otherwise does.
	admittersInterval = 100 * time.Millisecond
	// admitterTakeOver is how long an admitter may be silent until the next node by hash is asked: longer than the pause of a
	// garbage collection, and short beside an objective, as endpoints fill up while each node chooses by itself.
	admitterTakeOver = 200 * time.Millisecond
	// overloadMemory is how long after the last sign of overload a node asks the admitter.
	overloadMemory = share.GateQuiet
	// slowAnswerFactor is how much longer than usual an answer of an endpoint without a free slot takes under overload.
	slowAnswerFactor = 2.5
	// fasterWorkWeight and slowerWorkWeight are the weights of an answer in the expected work of a route. Answers that
	// took longer probably include waiting.
	fasterWorkWeight = 0.3
	slowerWorkWeight = 0.02
)

type (
	// admissions holds what this node asks the admitters of pools. It is safe for concurrent use.
	admissions struct {
		relay *Relay
		// node identifies this process to admitters.
		node string
		mu   sync.Mutex
		// lastNumber is the number of the last request that an admitter was asked for.
		lastNumber uint64
		pools      map[string]*poolAdmission
	}

	// poolAdmission is what this node knows of the overload of a pool. The lock of admissions guards it.
	poolAdmission struct {
		// askUntil is until when the admitter is asked.
		askUntil time.Time
		// nodes are the nodes that may be the admitter, in order, as of nodesAt.
		nodes   []string
		nodesAt time.Time
		// work is the expected work by route, in seconds of an endpoint.
		work map[string]float64
		// links holds the admitters with which requests are open, by name.
		links map[string]*admitterLink
	}

	// admitterLink holds the requests of a pool that are open at one admitter, and what it is to be told.
	admitterLink struct {
		pool, node string
		open       map[uint64]*admissionTicket
		ended      []peer.AdmitEnded
		// heardAt is when the admitter last answered, reportedAt when the open requests were last reported.
		heardAt, reportedAt time.Time
		// silentSince is since when the admitter has not answered in time; zero if it answers.
		silentSince time.Time
	}

	// admissionTicket is a request that an admitter is asked for. Its result at the endpoint is recorded until it is closed.
	admissionTicket struct {
		admissions *admissions
		// link is nil if this node is the admitter.
		link   *admitterLink
		pool   string
		number uint64
		// waiting is true until the admitter has decided. silent is closed if it does not answer.
		waiting bool
		silent  chan struct{}
	}

	// hedgeSlot is a slot for a second attempt at a request that is running.
	hedgeSlot struct {
		ticket      *admissionTicket
		incarnation string
	}

	// ShareFinding is what an admitter has found of a refused request's customer: the work per second, in seconds of
	// endpoints, that it may use and was given.
	ShareFinding struct {
		Share, Use float64
		// Over is true if the customer asks for more than its share.
		Over bool
	}
)

func newAdmissions(r *Relay) *admissions {
	return &admissions{relay: r, node: fmt.Sprintf("%s@%d", r.options.Name, r.startedAt.UnixMilli()), pools: map[string]*poolAdmission{}}
}

func (a *admissions) pool(name string) *poolAdmission {
	p := a.pools[name]
	if p == nil {
		p = &poolAdmission{work: map[string]float64{}, links: map[string]*admitterLink{}}
		a.pools[name] = p
	}
	return p
}

// openTicket opens a ticket for a request if the pool is overloaded. It returns nil if no admitter is to be asked.
func (a *admissions) openTicket(pool string) *admissionTicket {
	now := a.relay.now()
	if !a.relay.dividesCapacity(pool) || !a.overloaded(now, pool) {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pool(pool)
	if now.Sub(p.nodesAt) >= admittersInterval {
		p.nodes, p.nodesAt = a.relay.admittersOf(pool), now
	}
	node := p.answering(now)
	if node == "" {
		a.relay.metrics.CountEvent("AdmitterNotUsed")
		return nil
	}
	ticket := &admissionTicket{admissions: a, pool: pool, waiting: true, silent: make(chan struct{})}
	if node != a.relay.options.Name {
		ticket.link = p.links[node]
		if ticket.link == nil {
			ticket.link = &admitterLink{pool: pool, node: node, open: map[uint64]*admissionTicket{}, reportedAt: now}
			p.links[node] = ticket.link
			go a.report(ticket.link)
		}
	}
	a.lastNumber++
	ticket.number = a.lastNumber
	if ticket.link != nil {
		ticket.link.open[ticket.number] = ticket
	}
	return ticket
}

// answering returns the first of the nodes that has not been silent for admitterTakeOver; empty if it is silent now.
func (p *poolAdmission) answering(now time.Time) string {
	for _, node := range p.nodes {
		link := p.links[node]
		switch {
		case link == nil || link.silentSince.IsZero():
			return node
		case now.Sub(link.silentSince) < admitterTakeOver:
			return ""
		}
	}
	return ""
}

// overloaded reports whether a pool has lately shown signs of overload.
func (a *admissions) overloaded(now time.Time, pool string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pools[pool]
	return p != nil && now.Before(p.askUntil)
}

// extend has the admitter of a pool asked for some time from now on.
func (a *admissions) extend(pool string, askFor time.Duration) {
	if askFor <= 0 {
		return
	}
	until := a.relay.now().Add(askFor)
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pool(pool)
	if until.After(p.askUntil) {
		p.askUntil = until
	}
}

// expectedWork returns the time that an endpoint needs for a request of a route; 0 if it is unknown.
func (a *admissions) expectedWork(pool, route string) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Duration(a.pool(pool).work[route] * float64(time.Second))
}

// recordAnswer records an endpoint's answer after elapsed: the work of the route, and signs of overload. maxQueued is how many
// waiting requests the endpoint may report for the answer to show the work: others show how long they waited.
func (a *admissions) recordAnswer(pool, route string, elapsed time.Duration, load *model.Load, maxQueued int) {
	if load == nil {
		return
	}
	seconds := elapsed.Seconds() / max(load.Contention, 1)
	a.mu.Lock()
	p := a.pool(pool)
	known := p.work[route]
	if load.Queued <= maxQueued {
		p.recordWork(route, seconds)
	}
	a.mu.Unlock()
	if load.Queued > 0 || load.Running >= load.Slots && known > 0 && seconds > slowAnswerFactor*known {
		a.extend(pool, overloadMemory)
	}
}

func (p *poolAdmission) recordWork(route string, seconds float64) {
	known := p.work[route]
	switch {
	case known == 0:
		p.work[route] = seconds
	case seconds < known:
		p.work[route] += fasterWorkWeight * (seconds - known)
	default:
		p.work[route] += slowerWorkWeight * (seconds - known)
	}
}

// ask asks the admitter for the request of a ticket and waits for the decision. It returns false if the admitter does not
// answer or declines; the ticket is closed then.
func (t *admissionTicket) ask(ctx context.Context, m peer.Admit) (peer.AdmitReply, bool) {
	a := t.admissions
	if t.link == nil {
		reply := a.relay.admit(ctx, m)
		return reply, !reply.Declined
	}
	ctx, cancel := context.WithTimeout(ctx, max(0, m.DueIn)+peerSilenceTimeout)
	defer cancel()
	a.mu.Lock()
	m.Ended, t.link.ended = t.link.ended, nil
	a.mu.Unlock()
	var reply peer.AdmitReply
	answered := make(chan error, 1)
	go func() { answered <- a.relay.callNode(ctx, t.link.node, peer.KindAdmit, m, &reply) }()
	select {
	case err := <-answered:
		if err != nil {
			t.restore(m.Ended)
		}
		if err != nil || reply.Declined {
			t.close(peer.AdmitEnded{Result: share.GateUnsent})
			return peer.AdmitReply{}, false
		}
	case <-t.silent:
		t.restore(m.Ended)
		t.close(peer.AdmitEnded{Result: share.GateUnsent})
		return peer.AdmitReply{}, false
	}
	a.mu.Lock()
	t.waiting = false
	t.link.heardAt = a.relay.now()
	if reply.State == share.GateRefused {
		delete(t.link.open, t.number)
	}
	a.mu.Unlock()
	return reply, true
}

// restore puts back ends that were sent with a question whose call failed. If the admitter got them,
// the repetition frees no slot, and counts only what it shows of the endpoint once more.
func (t *admissionTicket) restore(ended []peer.AdmitEnded) {
	a := t.admissions
	a.mu.Lock()
	defer a.mu.Unlock()
	t.link.ended = slices.Concat(ended, t.link.ended)
}

// close reports the end of the request.
func (t *admissionTicket) close(ended peer.AdmitEnded) {
	ended.Number = t.number
	t.tell(ended)
}

// tell tells the admitter of the end of the request, or of an attempt, at once or with the next message.
func (t *admissionTicket) tell(ended peer.AdmitEnded) {
	a := t.admissions
	if t.link == nil {
		a.relay.admitters.end(t.pool, gateEnds(a.node, []peer.AdmitEnded{ended}))
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if ended.Number != 0 {
		t.waiting = false
		delete(t.link.open, ended.Number)
	}
	t.link.ended = append(t.link.ended, ended)
}
