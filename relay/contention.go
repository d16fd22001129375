package relay

import (
	"sync"
	"time"

	"basilstall.example/basilstall/model"
)

// contentionRetention is how long after the last endpoint of a pool stated its contention the pool counts as one whose
// endpoints do: longer than the pauses between the answers that a node gets from a pool in use.
const contentionRetention = time.Minute

// contentionRecord holds which pools have endpoints that state their contention, as their machines are shared with
// others. It is safe for concurrent use.
type contentionRecord struct {
	mu sync.Mutex
	// statedAt is when an endpoint of a pool last stated its contention, by pool.
	statedAt map[string]time.Time
}

func newContentionRecord() *contentionRecord {
	return &contentionRecord{statedAt: map[string]time.Time{}}
}

// record records what an endpoint of a pool states of itself.
func (c *contentionRecord) record(now time.Time, pool string, stated model.Statement) {
	if stated.Load == nil || stated.Load.Contention == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statedAt[pool] = now
}

// stated reports whether an endpoint of a pool has lately stated its contention.
func (c *contentionRecord) stated(now time.Time, pool string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, known := c.statedAt[pool]
	return known && now.Sub(at) < contentionRetention
}

// dividesCapacity reports whether one node chooses the endpoints of a pool for all, by what is pending from all customers, and
// divides slots among them: if the settings say that customers compete, or if the pool's endpoints state their contention.
// Pieces are divided among customers only in the latter case: where requests have seconds of slack, the waits that are
// estimated beyond a share are too long.
func (r *Relay) dividesCapacity(pool string) bool {
	return r.options.DividesCapacity || r.statesContention(pool)
}

// statesContention reports whether the endpoints of a pool state their contention.
func (r *Relay) statesContention(pool string) bool {
	return r.contention.stated(r.now(), pool)
}
