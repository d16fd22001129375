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
	// maxClaimsReadInterval bounds how seldom the row is read; a short firm horizon is read more often.
	maxClaimsReadInterval = 2 * time.Second
	// minClaimsReadInterval bounds how often it is read at all.
	minClaimsReadInterval = 100 * time.Millisecond
	// claimsReadsPerFirmHorizon is the part of the firm horizon that may pass between two reads.
	claimsReadsPerFirmHorizon = 6
	stabilityTime             = 1500 * time.Millisecond
	// claimsReadTimeout bounds a read, so that keyed requests do not wait for a table that hangs.
	claimsReadTimeout = time.Second
)

// claimsState holds the claims row as last read.
type claimsState struct {
	mu      sync.Mutex
	row     kernel.Claims
	version uint64
	// lastAttempt is when the row was last read, or reading it failed.
	lastAttempt time.Time
	readErr     error
	// reading keeps concurrent reads to one.
	readMu sync.Mutex
	wakeup chan struct{}
	grants *kernel.Grants
}

func newClaimsState(self kernel.Member) *claimsState {
	return &claimsState{wakeup: make(chan struct{}, 1), grants: kernel.NewGrants(self)}
}

// bound returns up to what key time this node may run the keys that it owns.
func (c *claimsState) bound() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.grants.Bound(c.row)
}

func (c *claimsState) current() kernel.Claims {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.row
}

func (c *claimsState) number() uint64 {
	return c.current().Number
}

// set takes a row in; the row only moves forward.
func (c *claimsState) set(now time.Time, row kernel.Claims, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastAttempt, c.readErr = now, nil
	if row.Number > c.row.Number {
		c.row, c.version = row, version
	}
}

func (c *claimsState) setError(now time.Time, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastAttempt, c.readErr = now, err
}

func (c *claimsState) snapshot() (kernel.Claims, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.row, c.version
}

// wake makes the row be read soon.
func (c *claimsState) wake() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

// refreshClaims reads the row unless it was read a moment ago.
func (n *Node) refreshClaims(ctx context.Context) error {
	c := n.claims
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.mu.Lock()
	fresh := time.Since(c.lastAttempt) < minClaimsReadInterval
	known, failed := c.row, c.readErr
	c.mu.Unlock()
	if fresh {
		return failed
	}
	ctx, cancel := context.WithTimeout(ctx, claimsReadTimeout)
	defer cancel()
	row, version, err := n.store.Claims(ctx, known)
	n.recordTableResult(err)
	if err != nil {
		c.setError(time.Now(), err)
		return err
	}
	c.set(time.Now(), row, version)
	return nil
}

// maintainClaims reads the row again and again and writes it where the kernel says so.
func (n *Node) maintainClaims() {
	for {
		firm := n.Settings().Fleet.FirmHorizon
		wait := time.NewTimer(jitter(min(maxClaimsReadInterval, firm/claimsReadsPerFirmHorizon)))
		select {
		case <-n.ctx.Done():
			wait.Stop()
			return
		case <-wait.C:
		case <-n.claims.wakeup:
			wait.Stop()
		}
		if n.refreshClaims(n.ctx) == nil && !n.draining.Load() {
			n.writeClaims(time.Now())
		}
		retention := n.Settings().Fleet.Retention
		n.keys.expire(time.Now(), retention)
		n.durableKeys.expire(time.Now(), retention)
	}
}

func (n *Node) claimsCoordinator() kernel.ClaimsCoordinator {
	fleet := n.Settings().Fleet
	return kernel.ClaimsCoordinator{
		Self:          n.member,
		FirmHorizon:   min(fleet.FirmHorizon, fleet.Horizon),
		Horizon:       fleet.Horizon,
		StabilityTime: stabilityTime,
	}
}

func (n *Node) writeClaims(now time.Time) {
	coordinator := n.claimsCoordinator()
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
	next := coordinator.NextRow(now, row, alive, action, from, uuid.NewString())
	next = next.WithoutBefore(now.Add(-n.Settings().Fleet.Retention))
	written, err := n.store.CompareAndSwapClaims(n.ctx, version, row, next)
	n.cancelEra(err)
	var conflict *table.Conflict
	if errors.As(err, &conflict) {
		// The row has changed; the next turn reads it.
		n.metrics.CountEvent("ClaimsConflict")
		return
	}
	n.recordTableResult(err)
	if err != nil {
		return
	}
	n.claims.set(time.Now(), next, written)
	if action != kernel.ExtendHorizon {
		n.log.Info().Uint64("Era", next.NewestEra().Number).Int("Members", len(alive)).Time("From", next.NewestEra().From).Msg("era written")
	}
}
