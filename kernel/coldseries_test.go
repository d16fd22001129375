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
	// coldSeries simulates a fleet in which senders to one cold endpoint are repeatedly stopped and restarted.
	coldSeries struct {
		rng   *rand.Rand
		share kernel.ColdShare
		nodes []*coldSeriesNode
		// stops is how many senders are stopped at a time, gap is the interval. Killed senders do not announce that
		// they leave.
		stops  int
		gap    time.Duration
		killed bool
	}

	coldSeriesNode struct {
		name      string
		startedAt time.Time
		// lag is the delay after which it learns of membership changes, news holds the changes sent to it.
		lag  time.Duration
		news []membershipUpdate
		duty kernel.ColdRole
		// sender is true while the node is one of the senders.
		sender bool
		sentAt time.Time
		// leaving is true from the announcement that the node leaves to its end, and downUntil is when it runs again.
		leaving   bool
		downUntil time.Time
	}
)

const (
	// coldSeriesDown is how long a process takes to restart, coldSeriesDrain how long a leaving node still serves.
	coldSeriesDown  = 500 * time.Millisecond
	coldSeriesDrain = time.Second
)

func newColdSeries(nodes int, rate float64) *coldSeries {
	f := &coldSeries{rng: rand.New(rand.NewPCG(uint64(nodes), 1)), share: kernel.ColdLimits{Excess: 1.5, Slack: 5}.Share(rate)}
	for _, p := range peersNamed("node", nodes) {
		f.nodes = append(f.nodes, &coldSeriesNode{name: p.Name, lag: time.Duration(f.rng.IntN(1200)) * time.Millisecond})
	}
	f.tell(time.Unix(0, 0))
	return f
}

// tell sends the nodes that are not leaving to all nodes, each of which learns of them after its own delay.
func (f *coldSeries) tell(now time.Time) {
	var staying []kernel.Peer
	for _, n := range f.nodes {
		if !n.leaving {
			staying = append(staying, kernel.Peer{Name: n.name})
		}
	}
	for _, n := range f.nodes {
		n.news = append(n.news, membershipUpdate{at: now.Add(n.lag), nodes: staying})
	}
}

// stop stops the first senders, as many as are stopped at a time.
func (f *coldSeries) stop(now time.Time) {
	left := f.stops
	for _, n := range f.nodes {
		if left == 0 || !n.sender || n.leaving || now.Before(n.downUntil) {
			continue
		}
		left--
		n.leaving = !f.killed
		n.downUntil = now.Add(coldSeriesDown)
		if n.leaving {
			n.downUntil = n.downUntil.Add(coldSeriesDrain)
		}
		n.sender = false
	}
	f.tell(now)
}

// step restarts a node when its downtime is over and reports whether the node sends.
func (f *coldSeries) step(now time.Time, n *coldSeriesNode) bool {
	draining := n.leaving && now.Before(n.downUntil.Add(-coldSeriesDown))
	if now.Before(n.downUntil) && !draining {
		n.duty, n.sentAt, n.startedAt = kernel.ColdRole{}, time.Time{}, n.downUntil
		return false
	}
	if n.leaving && !draining {
		n.leaving = false
		f.tell(now)
		// A node reads the store when it starts.
		n.news[len(n.news)-1].at = now
	}
	if n.duty.Expired(now) {
		n.sender = !n.leaving && f.share.IsSender(n.name, model.Endpoint{Name: "cold"}, n.heard(now))
		n.duty = n.duty.With(now, n.startedAt, n.sender)
	}
	if !f.share.DueForRole(now, n.duty, n.sentAt) {
		return false
	}
	n.sentAt = now
	return true
}

func (n *coldSeriesNode) heard(now time.Time) []kernel.Peer {
	var nodes []kernel.Peer
	for _, news := range n.news {
		if !now.Before(news.at) {
			nodes = news.nodes
		}
	}
	return nodes
}

// play returns the arrival times of the requests at the endpoint.
func (f *coldSeries) play(length time.Duration) (arrivals []time.Time) {
	start := time.Unix(1000, 0)
	for elapsed := time.Duration(0); elapsed < length; elapsed += coldStep {
		now := start.Add(elapsed)
		if elapsed >= coldDisruptionAt && elapsed%f.gap == 0 {
			f.stop(now)
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
func TestAColdEndpointGetsWhatItBearsWhileItsSendersStartAgain(t *testing.T) {
	t.Parallel()
	for _, nodes := range []int{4, 8, 76} {
		for _, rate := range []float64{1, 4, 9.4, 30} {
			for _, gap := range []time.Duration{300 * time.Millisecond, time.Second, 2 * time.Second} {
				for stops := range 3 {
					for _, killed := range []bool{false, true} {
						f := newColdSeries(nodes, rate)
						f.stops, f.gap, f.killed = stops+1, gap, killed
						arrivals := f.play(12 * time.Second)
						must.LessEq(t, int(1.5*rate+5), mostWithin(arrivals, time.Second), must.Sprint(nodes, rate, gap, stops+1, killed))
						must.GreaterEq(t, int(coldDisruptionAt/time.Second), len(arrivals))
					}
				}
			}
		}
	}
}
