package node

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/table"
)

const (
	// claimsEvery bounds how seldom the row is read; a short horizon is read more often.
	claimsEvery = 2 * time.Second
	// claimsSoonest bounds how often it is read at all.
	claimsSoonest = 100 * time.Millisecond
	// claimsShare is the part of the horizon that may pass between two reads.
	claimsShare  = 8
	settleBefore = 1500 * time.Millisecond
)

// claimsKeeper holds the claims row as last read.
type claimsKeeper struct {
	mu      sync.Mutex
	row     kernel.Claims
	version uint64
	readAt  time.Time
	// reading keeps concurrent reads to one.
	reading sync.Mutex
	woken   chan struct{}
}

func newClaimsKeeper() *claimsKeeper {
	return &claimsKeeper{woken: make(chan struct{}, 1)}
}

func (c *claimsKeeper) current() kernel.Claims {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.row
}

func (c *claimsKeeper) number() uint64 {
	return c.current().Number
}

// set takes a row in; the row only moves forward.
func (c *claimsKeeper) set(now time.Time, row kernel.Claims, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readAt = now
	if row.Number > c.row.Number {
		c.row, c.version = row, version
	}
}

func (c *claimsKeeper) snapshot() (kernel.Claims, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.row, c.version
}

// wake makes the row be read soon.
func (c *claimsKeeper) wake() {
	select {
	case c.woken <- struct{}{}:
	default:
	}
}

// refreshClaims reads the row unless it was read a moment ago.
func (n *Node) refreshClaims(ctx context.Context) error {
	c := n.claims
	c.reading.Lock()
	defer c.reading.Unlock()
	c.mu.Lock()
	fresh := time.Since(c.readAt) < claimsSoonest
	known := c.row
	c.mu.Unlock()
	if fresh {
		return nil
	}
	row, version, err := n.store.Claims(ctx, known)
	n.noteTable(err)
	if err != nil {
		return err
	}
	c.set(time.Now(), row, version)
	return nil
}

// keepClaims reads the row again and again and writes it where the kernel says so.
func (n *Node) keepClaims() {
	for {
		horizon := n.Settings().Fleet.Horizon
		wait := time.NewTimer(jitter(min(claimsEvery, horizon/claimsShare)))
		select {
		case <-n.ctx.Done():
			wait.Stop()
			return
		case <-wait.C:
		case <-n.claims.woken:
			wait.Stop()
		}
		if n.refreshClaims(n.ctx) == nil && !n.draining.Load() {
			n.writeClaims(time.Now())
		}
		n.keys.expire(time.Now(), n.Settings().Fleet.Retention)
		n.durable.expire(time.Now(), n.Settings().Fleet.Retention)
	}
}

func (n *Node) writeClaims(now time.Time) {
	fleet := n.Settings().Fleet
	keeper := kernel.Keeper{Self: n.member, Horizon: fleet.Horizon, Settle: settleBefore}
	row, version := n.claims.snapshot()
	alive, stood := n.fleet.alive()
	action := keeper.Decide(now, row, alive, stood)
	if action == kernel.KeepClaims {
		return
	}
	next := keeper.Next(now, row, alive, action, uuid.NewString())
	next = next.WithoutBefore(now.Add(-fleet.Retention))
	written, err := n.store.SwapClaims(n.ctx, version, row, next)
	var conflict *table.Conflict
	if errors.As(err, &conflict) {
		// The row has changed; the next turn reads it.
		n.metrics.Event("ClaimsConflict")
		return
	}
	n.noteTable(err)
	if err != nil {
		return
	}
	n.claims.set(time.Now(), next, written)
	if action != kernel.ExtendHorizon {
		n.log.Info().Uint64("Era", next.Newest().Number).Int("Members", len(alive)).Time("From", next.Newest().From).Msg("era written")
	}
}
