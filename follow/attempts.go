package follow

import (
	"time"

	"basilstall.example/basilstall/clock"
	"basilstall.example/basilstall/currency"
)

// recordAttempt records that the store has not answered a call of this node, or refused it.
func (f *Follower) recordAttempt(t *followedTable, startedAt time.Time) {
	if t.IgnoreAge {
		return
	}
	f.changeAttempts(func(a currency.Attempts) currency.Attempts { return a.With(f.options.Name, startedAt) })
	f.updates.Broadcast()
}

// addAttempts adds the attempts of other nodes by their ages at a time.
func (f *Follower) addAttempts(at time.Time, ages map[string]time.Duration) {
	if len(ages) == 0 {
		return
	}
	f.changeAttempts(func(a currency.Attempts) currency.Attempts { return a.WithAges(at, ages) })
	f.updates.Broadcast()
}

func (f *Follower) changeAttempts(change func(currency.Attempts) currency.Attempts) {
	f.proofMu.Lock()
	defer f.proofMu.Unlock()
	f.proof.Attempts = change(f.proof.Attempts)
	f.relay.SetRoutingProof(f.proof)
}

// recordProver records who has last answered about the tables.
func (f *Follower) recordProver(node string) {
	f.proofMu.Lock()
	defer f.proofMu.Unlock()
	if f.proof.By != node {
		f.proof.By = node
		f.relay.SetRoutingProof(f.proof)
	}
}

func (f *Follower) attempts() currency.Attempts {
	f.proofMu.Lock()
	defer f.proofMu.Unlock()
	return f.proof.Attempts
}

// routingProvenAt returns when the first table was last proven current.
func (f *Follower) routingProvenAt() time.Time {
	t := f.tables[0]
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.replica.ProvenAt()
}

// unanswered returns the ages of the attempts that are newer than what is known of the routing.
func (f *Follower) unanswered(now time.Time) map[string]time.Duration {
	return f.attempts().Ages(now, f.routingProvenAt())
}

// knowsOutage reports whether this node knows that the store answers no node, and the sender of a request does not. ages
// are those of the attempts that the sender knew of at askedAt.
func (f *Follower) knowsOutage(askedAt time.Time, ages map[string]time.Duration) bool {
	now, provenAt, nodes := clock.Now(), f.routingProvenAt(), f.relay.KnownNodes()
	shows := func(a currency.Attempts) bool { return a.ShowOutage(now, f.options.MaxRouteAge, provenAt, nodes) }
	return shows(f.attempts()) && !shows(currency.Attempts{}.WithAges(askedAt, ages))
}
