package node

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"basilstall.example/basilstall/clock"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/leaving"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/peer"
	"basilstall.example/basilstall/table"
)

const (
	// maxHandoverEntries bounds the entries of one handover message.
	maxHandoverEntries = 2000
	// handoverTimeout bounds the handover of the keys, with all attempts.
	handoverTimeout = 5 * time.Second
	// lateForwardDuration is how long a node that has handed over its keys still forwards late requests.
	lateForwardDuration = 2500 * time.Millisecond
	// drainPollInterval is the interval of checks for requests in flight. A failed handover is repeated after ten times
	// this interval.
	drainPollInterval = 20 * time.Millisecond
)

// Draining reports whether Drain was called.
func (n *Node) Draining() bool {
	return n.draining.Load()
}

// Drain shuts the node down gracefully. It marks the node as leaving for peers, the platform's list and the balancer,
// still serves requests for the drain delay, except those that might not end before the drain limit, hands over its keys,
// waits for the requests in flight and until their answers are sent, and closes the node. It returns how many requests were
// cut because they were still in flight when the drain limit had passed. Further calls return 0 at once.
func (n *Node) Drain(ctx context.Context) int {
	if n.draining.Swap(true) {
		return 0
	}
	endsAt := time.Now().Add(n.options.DrainDelay + n.options.DrainLimit)
	n.drainEndsAt.Store(&endsAt)
	n.log.Info().Msg("draining")
	ctx, cancel := context.WithTimeout(ctx, n.options.DrainDelay+n.options.DrainLimit)
	defer cancel()
	n.fleet.mu.Lock()
	n.fleet.membership.Leave(time.Now())
	n.fleet.mu.Unlock()
	n.announce(ctx)
	n.awaitBalancer(ctx)
	n.shutdownCallerServer(ctx)
	n.handOver(ctx)
	n.awaitIdle(ctx)
	n.sendOutcomes(ctx)
	cut := int(n.inFlight.Load())
	if !n.conns.AwaitSent(ctx) {
		n.log.Warn().Int64("HeldBytes", n.conns.HeldBytes()).Msg("connections closed with unsent answers at the drain limit")
	}
	n.log.Info().Int("Cut", cut).Msg("drained")
	n.Close()
	return cut
}

// admitWhileDraining refuses a request at a draining node that might be cut off at the drain limit.
func (n *Node) admitWhileDraining(now time.Time, req model.Request, stream bool) *model.Refusal {
	endsAt := n.drainEndsAt.Load()
	if endsAt == nil {
		return nil
	}
	return leaving.Admit(now, *endsAt, leaving.Request{Stream: stream, Deadline: req.Deadline, Seen: n.requestTimes.Seen(now, req.Pipeline)})
}

// awaitBalancer waits until no request has arrived for the drain delay. By then the balancer, however late, sends no
// more requests, and none is about to arrive on a kept-alive connection. If requests keep arriving, as from callers
// without a balancer, the wait ends after the drain delay and half the drain limit.
func (n *Node) awaitBalancer(ctx context.Context) {
	end := time.Now().Add(n.options.DrainDelay + n.options.DrainLimit/2)
	clock.Sleep(ctx, n.options.DrainDelay)
	for time.Now().Before(end) {
		idle := time.Since(time.Unix(0, n.lastArrival.Load()))
		if idle >= n.options.DrainDelay || !clock.Sleep(ctx, n.options.DrainDelay-idle) {
			return
		}
	}
}

// handOver transfers all keys to a live member: first the ledger entries, then the ownership of the keys, by one write
// of the claims row. No new keyed request starts here during the handover, nor after it succeeded.
func (n *Node) handOver(ctx context.Context) {
	n.keys.mu.Lock()
	handoverDone := make(chan struct{})
	n.keys.handoverDone = handoverDone
	entries := n.keys.ledger.Export(n.member.ID())
	n.runningAtHandover = n.keys.ledger.Running()
	cutoff := n.keys.ledger.Cutoff()
	n.keys.mu.Unlock()

	successor, ok := n.transferKeys(ctx, entries, cutoff)
	n.keys.mu.Lock()
	n.keys.handoverDone = nil
	if ok {
		n.keys.successor = &successor
	}
	n.keys.mu.Unlock()
	close(handoverDone)
	if !ok {
		n.metrics.CountEvent("HandoverFailed")
		n.log.Warn().Msg("handover of keys failed; keys of this node that are issued before the horizon stay unavailable")
		return
	}
	n.log.Info().Str("Heir", successor.Node).Int("Keys", len(entries)).Msg("keys handed over")
	clock.Sleep(ctx, lateForwardDuration)
}

// transferKeys tries to transfer the keys to the live members in turn, until one takes them over or handoverTimeout has
// passed. It returns that member, or false if there is none. If no key can belong to this node, it returns the zero
// Member and true.
func (n *Node) transferKeys(ctx context.Context, entries map[string]kernel.LedgerEntry, cutoff time.Time) (kernel.Member, bool) {
	if !n.mayOwnKeys() {
		return kernel.Member{}, true
	}
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for ctx.Err() == nil {
		for _, candidate := range n.successorCandidates() {
			if !n.sendEntries(ctx, candidate, entries, cutoff) {
				continue
			}
			if n.writeTransfer(ctx, candidate) {
				return candidate, true
			}
		}
		clock.Sleep(ctx, 10*drainPollInterval)
	}
	return kernel.Member{}, false
}

// mayOwnKeys reports whether any key may belong to this node: it is a member of an era, or received the keys of a
// member that left.
func (n *Node) mayOwnKeys() bool {
	row := n.claims.current()
	for _, era := range row.Eras {
		for _, m := range era.Members {
			if m.ID() == n.member.ID() {
				return true
			}
		}
	}
	for _, t := range row.Transfers {
		if t.To.ID() == n.member.ID() {
			return true
		}
	}
	return false
}

// successorCandidates returns the live members other than this node.
func (n *Node) successorCandidates() []kernel.Member {
	alive, _ := n.fleet.alive()
	var candidates []kernel.Member
	for _, m := range alive {
		if m.ID() != n.member.ID() {
			candidates = append(candidates, m)
		}
	}
	return candidates
}

// sendEntries sends ledger entries to a member, in messages of at most maxHandoverEntries entries, and reports whether
// all of them were received. Without entries it sends one message, which carries the cutoff (see kernel.Ledger.Cutoff).
func (n *Node) sendEntries(ctx context.Context, to kernel.Member, entries map[string]kernel.LedgerEntry, cutoff time.Time) bool {
	batch := map[string]kernel.LedgerEntry{}
	added := 0
	send := func(last bool) bool {
		message := peer.Handover{From: n.member, Cutoff: cutoff, Entries: batch, Last: last}
		var reply peer.HandoverReply
		err := n.peers.Call(ctx, to.Address, peer.KindHandover, message, &reply)
		batch = map[string]kernel.LedgerEntry{}
		return err == nil
	}
	for id, entry := range entries {
		batch[id] = entry
		added++
		if len(batch) >= maxHandoverEntries && added < len(entries) && !send(false) {
			return false
		}
	}
	return send(true)
}

// writeTransfer writes the transfer of this node's keys into the claims row. It repeats the write while the outcome is
// open, since this node must not run its keys once the transfer has taken effect, and reports whether the row is known
// to contain it.
func (n *Node) writeTransfer(ctx context.Context, successor kernel.Member) bool {
	for ctx.Err() == nil {
		row, version, err := n.store.Claims(ctx, n.claims.current())
		if err != nil {
			clock.Sleep(ctx, 10*drainPollInterval)
			continue
		}
		n.claims.set(time.Now(), row, version)
		if row.HasLeft(n.member.ID()) {
			return true
		}
		next := row.WithTransfer(n.member.ID(), successor, uuid.NewString())
		newVersion, err := n.store.CompareAndSwapClaims(ctx, version, row, next)
		if err == nil {
			n.claims.set(time.Now(), next, newVersion)
			return true
		}
		var conflict *table.Conflict
		if !errors.As(err, &conflict) && !errors.Is(err, table.ErrUnavailable) && !errors.Is(err, table.ErrUnknown) {
			return false
		}
	}
	return false
}

// handleHandover imports the ledger entries of a member that leaves.
func (n *Node) handleHandover(_ context.Context, body []byte) (any, error) {
	var message peer.Handover
	if err := peer.DecodeBody(body, &message); err != nil {
		return nil, err
	}
	if n.draining.Load() {
		return nil, errors.New("node: draining")
	}
	n.keys.mu.Lock()
	defer n.keys.mu.Unlock()
	n.keys.ledger.Import(message.From.ID(), message.Entries, message.Cutoff)
	n.metrics.CountEvent("HandoverTaken")
	return peer.HandoverReply{Held: len(message.Entries)}, nil
}

// sendOutcomes sends the successor the outcomes of the requests that were still running at the handover.
func (n *Node) sendOutcomes(ctx context.Context) {
	n.keys.mu.Lock()
	successor := n.keys.successor
	ended := n.keys.ledger.ExportEnded(n.runningAtHandover)
	cutoff := n.keys.ledger.Cutoff()
	n.keys.mu.Unlock()
	if successor == nil || successor.Node == "" || len(ended) == 0 {
		return
	}
	if !n.sendEntries(ctx, *successor, ended, cutoff) {
		n.metrics.CountEvent("HandoverFailed")
	}
}

// awaitIdle waits until no request is in flight here or ctx ends.
func (n *Node) awaitIdle(ctx context.Context) {
	for n.inFlight.Load() > 0 {
		if !clock.Sleep(ctx, drainPollInterval) {
			return
		}
	}
}
