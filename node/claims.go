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
	// maxClaimsReadInterval is the longest time between two reads of the claims row. With a short firm horizon the row
	// is read more often.
	maxClaimsReadInterval = 2 * time.Second
	// minClaimsReadInterval is how long the outcome of a read is used before another caller may cause a read.
	minClaimsReadInterval = 100 * time.Millisecond
	// claimsReadsPerFirmHorizon is the least number of reads, without jitter, during a time as long as the firm horizon.
	claimsReadsPerFirmHorizon = 6
	// stabilityTime is how long the set of live members must have been unchanged before an era starts.
	stabilityTime = 1500 * time.Millisecond
	// claimsReadTimeout bounds a read, so that keyed requests do not wait for a table that hangs.
	claimsReadTimeout = time.Second
)

// claimsState holds the claims row (see kernel.Claims) as last read or written by this node, and the grants that extend
// it (see kernel.Grants). Key time is the time of issue of keys. It is safe for concurrent use.
type claimsState struct {
	mu  sync.Mutex
	row kernel.Claims
	// version is the version of the table row that holds row.
	version uint64
	// lastAttempt is when the row was last read or written, or when a read failed.
	lastAttempt time.Time
	// readErr is the error of the last read; nil if it succeeded.
	readErr error
	// readMu allows one read at a time.
	readMu sync.Mutex
	// wakeup has room for one request to read the row without delay.
	wakeup chan struct{}
	grants *kernel.Grants
}

func newClaimsState(self kernel.Member) *claimsState {
	return &claimsState{wakeup: make(chan struct{}, 1), grants: kernel.NewGrants(self)}
}

// bound returns the end of the key time up to which this node may run the keys that it owns.
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

// set stores a row that was read or written at now, unless a row with the same or a higher number is known.
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

// wake requests a read of the row without delay.
func (c *claimsState) wake() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

// refreshClaims reads the row. If the last read ended less than minClaimsReadInterval ago, it returns the error of that
// read instead.
func (n *Node) refreshClaims(ctx context.Context) error {
	c := n.claims
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.mu.Lock()
	fresh := time.Since(c.lastAttempt) < minClaimsReadInterval
	known, readErr := c.row, c.readErr
	c.mu.Unlock()
	if fresh {
		return readErr
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

// maintainClaims reads the row periodically, writes it if kernel.ClaimsCoordinator decides so, and removes expired
// keys, until the node stops.
func (n *Node) maintainClaims() {
	for {
		firm := n.Settings().Fleet.FirmHorizon
		timer := time.NewTimer(jitter(min(maxClaimsReadInterval, firm/claimsReadsPerFirmHorizon)))
		select {
		case <-n.ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-n.claims.wakeup:
			timer.Stop()
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

// writeClaims writes the row if a new era must start or the horizon must be extended.
func (n *Node) writeClaims(now time.Time) {
	coordinator := n.claimsCoordinator()
	row, version := n.claims.snapshot()
	alive, stableSince := n.fleet.alive()
	action := coordinator.Decide(now, row, alive, stableSince)
	if action == kernel.KeepClaims {
		return
	}
	var from time.Time
	if action == kernel.StartEra {
		from = n.sealEra(row)
	}
	next := coordinator.NextRow(now, row, alive, action, from, uuid.NewString())
	next = next.WithoutBefore(now.Add(-n.Settings().Fleet.Retention))
	newVersion, err := n.store.CompareAndSwapClaims(n.ctx, version, row, next)
	n.cancelEra(err)
	var conflict *table.Conflict
	if errors.As(err, &conflict) {
		// The row has changed since it was read; the next iteration of maintainClaims reads it.
		n.metrics.CountEvent("ClaimsConflict")
		return
	}
	n.recordTableResult(err)
	if err != nil {
		return
	}
	n.claims.set(time.Now(), next, newVersion)
	if action != kernel.ExtendHorizon {
		n.log.Info().Uint64("Era", next.NewestEra().Number).Int("Members", len(alive)).Time("From", next.NewestEra().From).Msg("claims row written with a new era")
	}
}
