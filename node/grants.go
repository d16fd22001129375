package node

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/peer"
	"basilstall.example/basilstall/table"
)

const (
	// grantCheckInterval is how often the node checks whether it needs grants.
	grantCheckInterval = 500 * time.Millisecond
	// grantTimeout bounds each call to another member for a grant or a seal.
	grantTimeout = time.Second
)

// maintainGrants requests grants whenever they are needed, until the node stops.
func (n *Node) maintainGrants() {
	n.runPeriodically(grantCheckInterval, func(context.Context) {
		n.requestGrants(time.Now())
	})
}

// requestGrants asks all members of the newest era to grant that keys issued up to FirmHorizon from now keep their
// owners (see kernel.Grants). This is only needed while the table is unavailable and the firm horizon can't be
// extended: nothing is requested while this node may run keys issued more than half of FirmHorizon ahead.
func (n *Node) requestGrants(now time.Time) {
	row := n.claims.current()
	firm := n.claimsCoordinator().FirmHorizon
	if row.Number == 0 || n.claims.bound().Sub(now) > firm/2 {
		return
	}
	message := peer.Grant{Era: row.NewestEra().Number, Until: now.Add(firm).Truncate(time.Millisecond)}
	var wg sync.WaitGroup
	for _, m := range row.NewestEra().Members {
		if row.HasLeft(m.ID()) || !n.fleet.reachable(m.ID()) {
			continue
		}
		if m.ID() == n.member.ID() {
			n.claims.grant(message)
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			n.requestGrant(m, message)
		}()
	}
	wg.Wait()
}

// requestGrant requests a grant from one member and records it.
func (n *Node) requestGrant(m kernel.Member, message peer.Grant) {
	ctx, cancel := context.WithTimeout(n.ctx, grantTimeout)
	defer cancel()
	var reply peer.GrantReply
	if err := n.peers.Call(ctx, m.Address, peer.KindGrant, message, &reply); err != nil || !reply.Granted {
		n.metrics.CountEvent("GrantMissing")
		return
	}
	n.claims.recordGrant(m.ID(), message.Era, reply.Until)
}

func (c *claimsState) grant(message peer.Grant) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.grants.Grant(c.row, message.Era, message.Until)
}

func (c *claimsState) recordGrant(member string, era uint64, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.grants.Record(member, era, until)
}

func (c *claimsState) seal(number uint64) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.grants.Seal(c.row, number)
}

func (c *claimsState) beginEra(row kernel.Claims) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.grants.BeginEra(row)
}

func (n *Node) handleGrant(_ context.Context, body []byte) (any, error) {
	var message peer.Grant
	if err := peer.DecodeBody(body, &message); err != nil {
		return nil, err
	}
	until, granted := n.claims.grant(message)
	return peer.GrantReply{Granted: granted, Until: until}, nil
}

// handleSeal answers a node that is about to write the next era and is no member of the newest one. Sealing means that
// this member grants nothing more until it knows a newer row. A member that has not read the row yet does not seal,
// because it does not know up to what key time it has granted in that row's newest era.
func (n *Node) handleSeal(_ context.Context, body []byte) (any, error) {
	var message peer.Seal
	if err := peer.DecodeBody(body, &message); err != nil {
		return nil, err
	}
	if n.claims.number() < message.Number {
		return peer.SealReply{}, nil
	}
	return peer.SealReply{Sealed: true, From: n.claims.seal(message.Number)}, nil
}

// sealEra returns the earliest key time at which a new era may start: the end of what this node has granted, if it is a
// member of the newest era; else the end of what a member of that era has granted, which it seals; else the horizon of
// the row.
func (n *Node) sealEra(row kernel.Claims) time.Time {
	for _, m := range row.NewestEra().Members {
		if m.ID() == n.member.ID() {
			return n.claims.beginEra(row)
		}
	}
	for _, m := range row.NewestEra().Members {
		if row.HasLeft(m.ID()) || !n.fleet.reachable(m.ID()) {
			continue
		}
		ctx, cancel := context.WithTimeout(n.ctx, grantTimeout)
		var reply peer.SealReply
		err := n.peers.Call(ctx, m.Address, peer.KindSeal, peer.Seal{Number: row.Number}, &reply)
		cancel()
		if err == nil && reply.Sealed {
			return reply.From
		}
	}
	n.metrics.CountEvent("EraAboveHorizon")
	return row.Horizon
}

// cancelEra resumes the grants of this member if the error shows that the write of the row certainly had no effect.
func (n *Node) cancelEra(writeErr error) {
	var conflict *table.Conflict
	if !errors.As(writeErr, &conflict) && !errors.Is(writeErr, table.ErrUnavailable) {
		return
	}
	n.claims.mu.Lock()
	defer n.claims.mu.Unlock()
	n.claims.grants.CancelEra()
}
