package kernel_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

type (
	// restartingFleet simulates a fleet in which senders to one cold endpoint are repeatedly stopped and restarted.
	restartingFleet struct {
		rng   *rand.Rand
		share kernel.ColdShare
		nodes []*restartingNode
		// stops is how many senders are stopped at a time, gap is the interval. Killed senders do not announce that
		// they leave.
		stoppedAtOnce int
		stopInterval  time.Duration
		killed        bool
	}

	restartingNode struct {
		name      string
		startedAt time.Time
		// lag is the delay after which it learns of membership changes, news holds the changes sent to it.
		lag     time.Duration
		updates []membershipUpdate
		role    kernel.ColdRole
		// sender is true while the node is one of the senders.
		sender bool
		sentAt time.Time
		// leaving is true from the announcement that the node leaves to its end, and downUntil is when it runs again.
		leaving   bool
		downUntil time.Time
	}
)

const (
	// restartDuration is how long a process takes to restart, drainDuration how long a leaving node still serves.
	restartDuration = 500 * time.Millisecond
	drainDuration   = time.Second
)

func newRestartingFleet(nodes int, rate float64) *restartingFleet {
	f := &restartingFleet{rng: rand.New(rand.NewPCG(uint64(nodes), 1)), share: kernel.ColdLimits{Excess: 1.5, Slack: 5}.Share(rate)}
	for _, p := range peersNamed("node", nodes) {
		f.nodes = append(f.nodes, &restartingNode{name: p.Name, lag: time.Duration(f.rng.IntN(1200)) * time.Millisecond})
	}
	f.announceMembership(time.Unix(0, 0))
	return f
}

// tell sends the nodes that are not leaving to all nodes, each of which learns of them after its own delay.
func (f *restartingFleet) announceMembership(now time.Time) {
	var staying []kernel.Peer
	for _, n := range f.nodes {
		if !n.leaving {
			staying = append(staying, kernel.Peer{Name: n.name})
		}
	}
	for _, n := range f.nodes {
		n.updates = append(n.updates, membershipUpdate{at: now.Add(n.lag), nodes: staying})
	}
}

// stop stops the first senders, as many as are stopped at a time.
func (f *restartingFleet) stopSenders(now time.Time) {
	left := f.stoppedAtOnce
	for _, n := range f.nodes {
		if left == 0 || !n.sender || n.leaving || now.Before(n.downUntil) {
			continue
		}
		left--
		n.leaving = !f.killed
		n.downUntil = now.Add(restartDuration)
		if n.leaving {
			n.downUntil = n.downUntil.Add(drainDuration)
		}
		n.sender = false
	}
	f.announceMembership(now)
}

// step restarts a node when its downtime is over and reports whether the node sends.
func (f *restartingFleet) step(now time.Time, n *restartingNode) bool {
	draining := n.leaving && now.Before(n.downUntil.Add(-restartDuration))
	if now.Before(n.downUntil) && !draining {
		n.role, n.sentAt, n.startedAt = kernel.ColdRole{}, time.Time{}, n.downUntil
		return false
	}
	if n.leaving && !draining {
		n.leaving = false
		f.announceMembership(now)
		// A node reads the store when it starts.
		n.updates[len(n.updates)-1].at = now
	}
	if n.role.Expired(now) {
		n.sender = !n.leaving && f.share.IsSender(n.name, model.Endpoint{Name: "cold"}, n.knownPeers(now))
		n.role = n.role.With(now, n.startedAt, n.sender)
	}
	if !f.share.DueForRole(now, n.role, n.sentAt) {
		return false
	}
	n.sentAt = now
	return true
}

func (n *restartingNode) knownPeers(now time.Time) []kernel.Peer {
	var nodes []kernel.Peer
	for _, news := range n.updates {
		if !now.Before(news.at) {
			nodes = news.nodes
		}
	}
	return nodes
}

// play returns the arrival times of the requests at the endpoint.
func (f *restartingFleet) run(length time.Duration) (arrivals []time.Time) {
	start := time.Unix(1000, 0)
	for elapsed := time.Duration(0); elapsed < length; elapsed += coldStep {
		now := start.Add(elapsed)
		if elapsed >= coldDisruptionAt && elapsed%f.stopInterval == 0 {
			f.stopSenders(now)
		}
		for _, n := range f.nodes {
			if !f.step(now, n) {
				continue
			}
			delay := time.Duration(f.rng.IntN(50)) * time.Millisecond
			if f.rng.IntN(5) == 0 {
				delay += 700 * time.Millisecond
			}
			arrivals = append(arrivals, now.Add(delay))
		}
	}
	slices.SortFunc(arrivals, time.Time.Compare)
	return arrivals
}

// A cold endpoint gets no more than the bound in any second, however often its senders are stopped and restarted, one
// by one or several at a time. A sender that takes over must not send at once: the one that it replaces may just have
// sent, and still sends while it drains. Without that wait an endpoint bounded to 6 requests a second got 9.
func TestColdBoundHoldsWhileSendersRestart(t *testing.T) {
	t.Parallel()
	for _, nodes := range []int{4, 8, 76} {
		for _, rate := range []float64{1, 4, 9.4, 30} {
			for _, gap := range []time.Duration{300 * time.Millisecond, time.Second, 2 * time.Second} {
				for stops := range 3 {
					for _, killed := range []bool{false, true} {
						f := newRestartingFleet(nodes, rate)
						f.stoppedAtOnce, f.stopInterval, f.killed = stops+1, gap, killed
						arrivals := f.run(12 * time.Second)
						must.LessEq(t, int(1.5*rate+5), maxCountWithin(arrivals, time.Second), must.Sprint(nodes, rate, gap, stops+1, killed))
						must.GreaterEq(t, int(coldDisruptionAt/time.Second), len(arrivals))
					}
				}
			}
		}
	}
}
