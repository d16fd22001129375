package node

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"basilstall.example/basilstall/clock"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/peer"
	"basilstall.example/basilstall/table"
)

const (
	// maxHandoverEntries bounds the entries of one message.
	maxHandoverEntries = 2000
	handoverTimeout    = 5 * time.Second
	// lateForwardDuration is how long a node that gave its keys away still passes late arrivals on.
	lateForwardDuration = 2500 * time.Millisecond
	drainPollInterval   = 20 * time.Millisecond
)

// Draining tells whether the node is on its way out.
func (n *Node) Draining() bool {
	return n.draining.Load()
}

// Drain takes the node out: it tells list, peers and balancer, still takes requests for the
// drain delay, gives its keys away, waits for what is in flight, and closes. It returns how
// many requests were cut because they exceeded the drain limit.
func (n *Node) Drain(ctx context.Context) int {
	if n.draining.Swap(true) {
		return 0
	}
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
	n.log.Info().Int("Cut", cut).Msg("drained")
	n.Close()
	return cut
}

// awaitBalancer waits until no request has come for the drain delay: the balancer has noticed,
// however late, and no kept connection is about to carry one. Callers that keep coming without
// a balancer are waited for no longer than half the drain limit.
func (n *Node) awaitBalancer(ctx context.Context) {
	end := time.Now().Add(n.options.DrainDelay + n.options.DrainLimit/2)
	clock.Sleep(ctx, n.options.DrainDelay)
	for time.Now().Before(end) {
		quiet := time.Since(time.Unix(0, n.lastArrival.Load()))
		if quiet >= n.options.DrainDelay || !clock.Sleep(ctx, n.options.DrainDelay-quiet) {
			return
		}
	}
}

// handOver gives all keys to a live member: first what is remembered of them, then, by one
// write of the claims row, the keys themselves. From the first message on nothing new runs
// here.
func (n *Node) handOver(ctx context.Context) {
	n.keys.mu.Lock()
	handing := make(chan struct{})
	n.keys.handoverDone = handing
	entries := n.keys.ledger.Export(n.member.ID())
	n.runningAtHandover = n.keys.ledger.Running()
	cutoff := n.keys.ledger.Cutoff()
	n.keys.mu.Unlock()

	heir, ok := n.transferKeys(ctx, entries, cutoff)
	n.keys.mu.Lock()
	n.keys.handoverDone = nil
	if ok {
		n.keys.successor = &heir
	}
	n.keys.mu.Unlock()
	close(handing)
	if !ok {
		n.metrics.CountEvent("HandoverFailed")
		n.log.Warn().Msg("keys were not handed over; they stay closed up to the horizon")
		return
	}
	n.log.Info().Str("Heir", heir.Node).Int("Keys", len(entries)).Msg("keys handed over")
	clock.Sleep(ctx, lateForwardDuration)
}

// transferKeys tries the live members in turn. A swap whose answer is lost for good counts as
// done for this node: it must not run its keys any more.
func (n *Node) transferKeys(ctx context.Context, entries map[string]kernel.LedgerEntry, cutoff time.Time) (kernel.Member, bool) {
	if !n.mayOwnKeys() {
		return kernel.Member{}, true
	}
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for ctx.Err() == nil {
		for _, heir := range n.successorCandidates() {
			if !n.sendEntries(ctx, heir, entries, cutoff) {
				continue
			}
			if n.writeTransfer(ctx, heir) {
				return heir, true
			}
		}
		clock.Sleep(ctx, 10*drainPollInterval)
	}
	return kernel.Member{}, false
}

// mayOwnKeys tells whether any key may belong to this node.
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

// heirs returns the live members, those in the newest era last: they are the likelier to
// have much to do.
func (n *Node) successorCandidates() []kernel.Member {
	alive, _ := n.fleet.alive()
	var heirs []kernel.Member
	for _, m := range alive {
		if m.ID() != n.member.ID() {
			heirs = append(heirs, m)
		}
	}
	return heirs
}

func (n *Node) sendEntries(ctx context.Context, heir kernel.Member, entries map[string]kernel.LedgerEntry, cutoff time.Time) bool {
	part := map[string]kernel.LedgerEntry{}
	sent := 0
	send := func(last bool) bool {
		message := peer.Handover{From: n.member, Cutoff: cutoff, Entries: part, Last: last}
		var reply peer.HandoverReply
		err := n.peers.Call(ctx, heir.Address, peer.KindHandover, message, &reply)
		part = map[string]kernel.LedgerEntry{}
		return err == nil
	}
	for id, entry := range entries {
		part[id] = entry
		sent++
		if len(part) >= maxHandoverEntries && sent < len(entries) && !send(false) {
			return false
		}
	}
	return send(true)
}

// writeTransfer writes the transfer into the claims row. It reports whether it is there.
func (n *Node) writeTransfer(ctx context.Context, heir kernel.Member) bool {
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
		next := row.WithTransfer(n.member.ID(), heir, uuid.NewString())
		written, err := n.store.CompareAndSwapClaims(ctx, version, row, next)
		if err == nil {
			n.claims.set(time.Now(), next, written)
			return true
		}
		var conflict *table.Conflict
		if !errors.As(err, &conflict) && !errors.Is(err, table.ErrUnavailable) && !errors.Is(err, table.ErrUnknown) {
			return false
		}
	}
	return false
}

// handleHandover takes over what a member that leaves remembers.
func (n *Node) handleHandover(_ context.Context, body []byte) (any, error) {
	var h peer.Handover
	if err := peer.DecodeBody(body, &h); err != nil {
		return nil, err
	}
	if n.draining.Load() {
		return nil, errors.New("node: draining")
	}
	n.keys.mu.Lock()
	defer n.keys.mu.Unlock()
	n.keys.ledger.Import(h.From.ID(), h.Entries, h.Cutoff)
	n.metrics.CountEvent("HandoverTaken")
	return peer.HandoverReply{Held: len(h.Entries)}, nil
}

// sendOutcomes gives the heir the outcome of the keys that still ran at the handover.
func (n *Node) sendOutcomes(ctx context.Context) {
	n.keys.mu.Lock()
	heir := n.keys.successor
	ended := n.keys.ledger.ExportEnded(n.runningAtHandover)
	cutoff := n.keys.ledger.Cutoff()
	n.keys.mu.Unlock()
	if heir == nil || heir.Node == "" || len(ended) == 0 {
		return
	}
	if !n.sendEntries(ctx, *heir, ended, cutoff) {
		n.metrics.CountEvent("HandoverFailed")
	}
}

// awaitIdle waits until nothing is in flight here, or ctx ends.
func (n *Node) awaitIdle(ctx context.Context) {
	for n.inFlight.Load() > 0 {
		if !clock.Sleep(ctx, drainPollInterval) {
			return
		}
	}
}
