package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"basilstall.example/basilstall/clock"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/peer"
	"basilstall.example/basilstall/share"
)

const (
	// gateInterval is how often a gate is advanced while requests hold slots or wait, for those that become too late and
	// slots that are freed at deadlines. It is short beside any objective.
	gateInterval = 10 * time.Millisecond
	// gateEndpointsInterval is how often the endpoints of a gate are read from the registry again.
	gateEndpointsInterval = 100 * time.Millisecond
	// admitterSubject is the prefix of the hashed subject by which the admitter of a pool is chosen.
	admitterSubject = "admit/"
)

type (
	// admitters holds the gates of the pools whose slots this node divides among customers. It is safe for concurrent use.
	admitters struct {
		relay *Relay
		mu    sync.Mutex
		gates map[string]*poolGate
	}

	// poolGate is the gate of a pool. The lock of admitters guards it.
	poolGate struct {
		pool string
		gate *share.Gate
		// waiters holds the channels on which the senders of waiting requests expect the decisions.
		waiters map[share.GateKey]chan share.GateDecision
		// endpointsAt is when the endpoints were last set.
		endpointsAt time.Time
		// advancing is true while a goroutine advances the gate regularly.
		advancing bool
	}
)

func newAdmitters(r *Relay) *admitters {
	return &admitters{relay: r, gates: map[string]*poolGate{}}
}

// admittersOf returns the nodes that may divide the slots of a pool among customers, in order: the reachable nodes that
// can. Nodes of earlier builds would close the connection at the unknown message.
func (r *Relay) admittersOf(pool string) []string {
	admits := map[string]bool{r.options.Name: true}
	for _, n := range *r.nodes.Load() {
		admits[n.Name] = admits[n.Name] || n.Admits
	}
	nodes := slices.DeleteFunc(slices.Clone(r.Reachable()), func(p kernel.Peer) bool { return !admits[p.Name] })
	return r.orders.Of(admitterSubject+pool, nodes)
}

// ask asks the gate of a pool and waits for the decision. It returns false if the pool has no endpoint that accepts
// requests, or ctx is done first.
func (a *admitters) ask(ctx context.Context, pool string, ask share.GateAsk, ended []share.GateEnd) (share.GateDecision, bool) {
	now := a.relay.now()
	a.mu.Lock()
	p := a.poolGate(pool)
	p.end(now, ended)
	if !a.setEndpoints(now, p) {
		a.mu.Unlock()
		return share.GateDecision{}, false
	}
	p.deliver(p.gate.Advance(now))
	decision := p.gate.Ask(now, ask)
	var decided chan share.GateDecision
	if decision.State == share.GateQueued {
		decided = make(chan share.GateDecision, 1)
		p.waiters[ask.Key] = decided
	}
	a.keepAdvancing(p)
	a.mu.Unlock()
	if decided == nil {
		return decision, true
	}
	select {
	case decision = <-decided:
		return decision, decision.State != share.GateDropped
	case <-ctx.Done():
	case <-a.relay.ctx.Done():
	}
	a.end(pool, []share.GateEnd{{Key: ask.Key, Result: share.GateUnsent}})
	return share.GateDecision{}, false
}

// end records the ends of requests.
func (a *admitters) end(pool string, ended []share.GateEnd) {
	now := a.relay.now()
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.poolGate(pool)
	p.end(now, ended)
	p.deliver(p.gate.Advance(now))
}

// askFor returns how long a pool counts as overloaded from now on; 0 if it does not.
func (a *admitters) askFor(pool string) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.poolGate(pool).gate.OverloadedFor(a.relay.now())
}

func (a *admitters) poolGate(pool string) *poolGate {
	p := a.gates[pool]
	if p == nil {
		p = &poolGate{pool: pool, gate: share.NewGate(), waiters: map[share.GateKey]chan share.GateDecision{}}
		a.gates[pool] = p
		a.relay.metrics.CountEvent("AdmitterBegan")
		a.relay.log.Info().Str("Pool", pool).Msg("slots are divided among customers here")
	}
	return p
}

// setEndpoints sets the endpoints of a gate to those that accept requests now. It reports whether there are any.
func (a *admitters) setEndpoints(now time.Time, p *poolGate) bool {
	if now.Sub(p.endpointsAt) < gateEndpointsInterval {
		return true
	}
	var endpoints []share.GateEndpoint
	for _, e := range a.relay.Registry().Endpoints(p.pool) {
		if e.Accepts(now) {
			endpoints = append(endpoints, share.GateEndpoint{Incarnation: e.Incarnation(), Slots: a.relay.pool(p.pool).slotsOf(e)})
		}
	}
	if len(endpoints) == 0 {
		return false
	}
	p.endpointsAt = now
	p.gate.SetEndpoints(endpoints)
	return true
}

// keepAdvancing starts to advance a gate regularly until no request holds a slot or waits. The caller holds a.mu.
func (a *admitters) keepAdvancing(p *poolGate) {
	if p.advancing {
		return
	}
	p.advancing = true
	go func() {
		for clock.Sleep(a.relay.ctx, gateInterval) {
			a.mu.Lock()
			now := a.relay.now()
			a.setEndpoints(now, p)
			p.gate.Hear(now, a.relay.admissions.node)
			p.deliver(p.gate.Advance(now))
			p.advancing = !p.gate.Idle()
			advancing := p.advancing
			a.mu.Unlock()
			if !advancing {
				return
			}
		}
	}()
}

func (p *poolGate) end(now time.Time, ended []share.GateEnd) {
	for _, end := range ended {
		p.gate.End(now, end)
	}
}

// deliver passes decisions to those that wait for them.
func (p *poolGate) deliver(decisions []share.GateDecision) {
	for _, d := range decisions {
		if decided := p.waiters[d.Key]; decided != nil {
			decided <- d
		}
		delete(p.waiters, d.Key)
	}
}

// handleAdmit handles a peer.Admit. It returns once the request is admitted or refused.
func (r *Relay) handleAdmit(ctx context.Context, body []byte) (any, error) {
	var m peer.Admit
	if err := peer.DecodeBody(body, &m); err != nil {
		return nil, err
	}
	if r.Leaving() {
		r.admitters.end(m.Pool, gateEnds(m.Node, m.Ended))
		return peer.AdmitReply{Declined: true}, nil
	}
	return r.admit(ctx, m), nil
}

// admit asks the gate of this node for a request of this or another node.
func (r *Relay) admit(ctx context.Context, m peer.Admit) peer.AdmitReply {
	now := r.now()
	ask := share.GateAsk{
		Key: share.GateKey{Node: m.Node, Number: m.Number}, Customer: m.Customer, Weight: m.Weight, Rank: m.Rank,
		Due: now.Add(m.DueIn), Deadline: now.Add(m.DeadlineIn), Work: m.Work, Spread: requestSpread(m.Request),
	}
	decision, ok := r.admitters.ask(ctx, m.Pool, ask, gateEnds(m.Node, m.Ended))
	if !ok {
		return peer.AdmitReply{Declined: true}
	}
	return peer.AdmitReply{
		State: decision.State, Incarnation: decision.Incarnation, Share: decision.Share, Use: decision.Use, Over: decision.Over,
		RetryAfter: decision.RetryAfter, AskFor: r.admitters.askFor(m.Pool),
	}
}

// handleAdmitEnd handles a peer.AdmitEnd.
func (r *Relay) handleAdmitEnd(_ context.Context, body []byte) (any, error) {
	var m peer.AdmitEnd
	if err := peer.DecodeBody(body, &m); err != nil {
		return nil, err
	}
	a := r.admitters
	now := r.now()
	a.mu.Lock()
	p := a.poolGate(m.Pool)
	p.gate.Hear(now, m.Node)
	p.end(now, gateEnds(m.Node, m.Ended))
	if m.Complete {
		p.gate.Reconcile(now, m.Node, m.Last, m.Open)
	}
	p.deliver(p.gate.Advance(now))
	a.mu.Unlock()
	return peer.AdmitEndReply{AskFor: a.askFor(m.Pool)}, nil
}

func gateEnds(node string, ended []peer.AdmitEnded) []share.GateEnd {
	out := make([]share.GateEnd, 0, len(ended))
	for _, e := range ended {
		out = append(out, share.GateEnd{Key: share.GateKey{Node: node, Number: e.Number}, Result: e.Result, Incarnation: e.Incarnation, Slots: e.Slots, Load: e.Load})
	}
	return out
}

// requestSpread returns a number from 0 to 1 that is derived from the ID of a request.
func requestSpread(id string) float64 {
	const parts = 1 << 16
	return float64(xxhash.Sum64String(id)%parts) / parts
}

// gateObjective returns when the answer to a request is needed.
func gateObjective(f model.Forward, a kernel.Admission) time.Time {
	if a.Route.Objective <= 0 {
		return a.Deadline
	}
	return f.ReceivedAt.Add(a.Route.Objective - f.Waited)
}
