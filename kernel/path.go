package kernel

import (
	"maps"
	"time"
)

const (
	// maxUnreachedNeeded is how many endpoints of a pool a node must fail to reach, with no success in between, before it takes its
	// own path to the pool for lost: endpoints that have crashed together are refused to all nodes alike.
	// With half of a large pool crashed, four that are drawn at random have all crashed in one of sixteen cases.
	maxUnreachedNeeded = 4
	// minUnreachedNeeded is the least number, and enough in a pool of up to smallPool endpoints, where a request must not use up its tries
	// on finding out, and where the paths to other pools are lost already.
	minUnreachedNeeded = 2
	smallPool          = 3
	// unreachedTTL is how long a failure to connect counts. It is longer than two connections may take to fail, one after
	// the other.
	unreachedTTL = 2500 * time.Millisecond
	// stallPatience is how long after the first failure all endpoints of a pool may only be stalled. Until then, a pool that
	// no other node reaches either is tried again.
	stallPatience = 2 * time.Second
	// The interval between trials of a lost path doubles from minTrialInterval to maxTrialInterval. Each is drawn at
	// random, from half of the interval to all of it, so that nodes that were cut off together do not return at once.
	minTrialInterval = 300 * time.Millisecond
	maxTrialInterval = 800 * time.Millisecond
)

// Path is what a node believes of its own path to the endpoints of a pool, by the connections that it has tried to open.
// Connections that were open before say nothing: they may live on while no new one can be opened. A Path is immutable.
type Path struct {
	// LostSince is when the path was found to be lost; zero while it is not.
	LostSince time.Time
	// reachedAt is when a connection to an endpoint of the pool was last opened.
	reachedAt time.Time
	// unreached holds, by incarnation, when the last connection to an endpoint failed. Only endpoints that could not be
	// reached since reachedAt are in it.
	unreached map[string]time.Time
	// suspectSince is when the first of the connections in unreached was begun.
	suspectSince time.Time
	// trials counts the trials since the path was lost.
	trials int
}

// Lost reports whether the node reaches no endpoint of the pool.
func (p Path) Lost() bool {
	return !p.LostSince.IsZero()
}

// MayBeStalled reports whether the endpoints of a pool that no other node reaches may only be stalled.
func (p Path) MayBeStalled(now time.Time) bool {
	return !p.Lost() || now.Sub(p.suspectSince) < stallPatience
}

// WithReached returns the path after a connection to an endpoint was opened.
func (p Path) WithReached(now time.Time) Path {
	return Path{reachedAt: now}
}

// unreachedNeeded returns how many endpoints of a pool of a size must not be reached for the path to be lost.
func unreachedNeeded(poolSize int, othersLost bool) int {
	if othersLost {
		return max(1, min(minUnreachedNeeded, poolSize))
	}
	if poolSize <= smallPool {
		return minUnreachedNeeded
	}
	return min(maxUnreachedNeeded, poolSize)
}

// Confirmed reports whether the path is lost and a trial has failed since. What moves work to other nodes for long waits for that.
func (p Path) Confirmed() bool {
	return p.Lost() && p.trials > 0
}

// TrialsNeeded returns how many further endpoints of a pool of a size are to be tried at once after a connection could not be opened
// within its time, so that a cut that shows as silence is found out in the time of two connections.
func (p Path) TrialsNeeded(poolSize int) int {
	if p.Lost() {
		return 0
	}
	return max(0, unreachedNeeded(poolSize, false)-len(p.unreached))
}

// WithUnreached returns the path after a connection to an incarnation of an endpoint, begun at beganAt, could not be
// opened. A failure that began before another connection was opened does not count. poolSize is the number of endpoints of the
// pool that may get work. Where othersLost, the paths to other pools are lost already, and fewer endpoints are enough.
func (p Path) WithUnreached(beganAt, now time.Time, incarnation string, othersLost bool, poolSize int) Path {
	if beganAt.Before(p.reachedAt) {
		return p
	}
	unreached := maps.Clone(p.unreached)
	if unreached == nil {
		unreached = map[string]time.Time{}
	}
	maps.DeleteFunc(unreached, func(_ string, at time.Time) bool { return now.Sub(at) > unreachedTTL })
	if len(unreached) == 0 {
		p.suspectSince = beganAt
	}
	unreached[incarnation] = now
	p.unreached = unreached
	if !p.Lost() && len(unreached) >= unreachedNeeded(poolSize, othersLost) {
		p.LostSince = now
	}
	return p
}

// WithoutEndpoint returns the path after an incarnation of an endpoint has ended or left the list: that it could not be
// reached says nothing of the path. Where nothing else says so, the path is no longer lost.
func (p Path) WithoutEndpoint(incarnation string) Path {
	if _, tried := p.unreached[incarnation]; !tried {
		return p
	}
	p.unreached = maps.Clone(p.unreached)
	delete(p.unreached, incarnation)
	if len(p.unreached) == 0 {
		p.LostSince = time.Time{}
	}
	return p
}

// Unreached returns how many endpoints could not be reached lately.
func (p Path) Unreached() int {
	return len(p.unreached)
}

// TriedLately reports whether a connection to an incarnation could not be opened lately.
func (p Path) TriedLately(now time.Time, incarnation string) bool {
	at, tried := p.unreached[incarnation]
	return tried && now.Sub(at) <= unreachedTTL
}

// WithTrial returns the path after a trial began, and the time until the next one. random is from 0 to 1.
func (p Path) WithTrial(random float64) (Path, time.Duration) {
	interval := min(minTrialInterval<<min(p.trials, 4), maxTrialInterval)
	p.trials++
	return p, time.Duration((0.5 + random/2) * float64(interval))
}
