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
	// claimsEvery bounds how seldom the row is read; a short firm horizon is read more often.
	claimsEvery = 2 * time.Second
	// claimsSoonest bounds how often it is read at all.
	claimsSoonest = 100 * time.Millisecond
	// claimsShare is the part of the firm horizon that may pass between two reads.
	claimsShare  = 6
	settleBefore = 1500 * time.Millisecond
	// claimsTimeout bounds a read, so that keyed requests do not wait for a table that hangs.
	claimsTimeout = time.Second
)

// claimsCoordinator holds the claims row as last read.
type claimsCoordinator struct {
	mu      sync.Mutex
	row     kernel.Claims
	version uint64
	// triedAt is when the row was last read, or reading it failed.
	triedAt time.Time
	failed  error
	// reading keeps concurrent reads to one.
	reading sync.Mutex
	woken   chan struct{}
	grants  *kernel.Grants
}

func newClaimsCoordinator(self kernel.Member) *claimsCoordinator {
	return &claimsCoordinator{woken: make(chan struct{}, 1), grants: kernel.NewGrants(self)}
}

// bound returns up to what key time this node may run the keys that it owns.
func (c *claimsCoordinator) bound() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.grants.Bound(c.row)
}

func (c *claimsCoordinator) current() kernel.Claims {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.row
}

func (c *claimsCoordinator) number() uint64 {
	return c.current().Number
}

// set takes a row in; the row only moves forward.
func (c *claimsCoordinator) set(now time.Time, row kernel.Claims, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.triedAt, c.failed = now, nil
	if row.Number > c.row.Number {
		c.row, c.version = row, version
	}
}

func (c *claimsCoordinator) fail(now time.Time, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.triedAt, c.failed = now, err
}

func (c *claimsCoordinator) snapshot() (kernel.Claims, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.row, c.version
}

// wake makes the row be read soon.
func (c *claimsCoordinator) wake() {
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
	fresh := time.Since(c.triedAt) < claimsSoonest
	known, failed := c.row, c.failed
	c.mu.Unlock()
	if fresh {
		return failed
	}
	ctx, cancel := context.WithTimeout(ctx, claimsTimeout)
	defer cancel()
	row, version, err := n.store.Claims(ctx, known)
	n.noteTable(err)
	if err != nil {
		c.fail(time.Now(), err)
		return err
	}
	c.set(time.Now(), row, version)
	return nil
}

// keepClaims reads the row again and again and writes it where the kernel says so.
func (n *Node) keepClaims() {
	for {
		firm := n.Settings().Fleet.FirmHorizon
		wait := time.NewTimer(jitter(min(claimsEvery, firm/claimsShare)))
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
		retention := n.Settings().Fleet.Retention
		n.keys.expire(time.Now(), retention)
		n.durable.expire(time.Now(), retention)
	}
}

func (n *Node) coordinator() kernel.Coordinator {
	fleet := n.Settings().Fleet
	return kernel.Coordinator{
		Self:          n.member,
		FirmHorizon:   min(fleet.FirmHorizon, fleet.Horizon),
		Horizon:       fleet.Horizon,
		StabilityTime: settleBefore,
	}
}

func (n *Node) writeClaims(now time.Time) {
	coordinator := n.coordinator()
	row, version := n.claims.snapshot()
	alive, stood := n.fleet.alive()
	action := coordinator.Decide(now, row, alive, stood)
	if action == kernel.KeepClaims {
		return
	}
	var from time.Time
	if action == kernel.StartEra {
		from = n.sealEra(row)
	}
	next := coordinator.Next(now, row, alive, action, from, uuid.NewString())
	next = next.WithoutBefore(now.Add(-n.Settings().Fleet.Retention))
	written, err := n.store.CompareAndSwapClaims(n.ctx, version, row, next)
	n.cancelEra(err)
	var conflict *table.Conflict
	if errors.As(err, &conflict) {
		// The row has changed; the next turn reads it.
		n.metrics.CountEvent("ClaimsConflict")
		return
	}
	n.noteTable(err)
	if err != nil {
		return
	}
	n.claims.set(time.Now(), next, written)
	if action != kernel.ExtendHorizon {
		n.log.Info().Uint64("Era", next.NewestEra().Number).Int("Members", len(alive)).Time("From", next.NewestEra().From).Msg("era written")
	}
}
