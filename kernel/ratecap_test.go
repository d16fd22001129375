package kernel_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

const (
	capWindow = 4 * time.Second
	capStep   = 20 * time.Millisecond
	// capRefreshInterval is how often nodes refresh their membership view.
	capRefreshInterval = time.Second
	// capDisruptionAt is when the disruption of a run takes place, capRunDuration the length of a run.
	capDisruptionAt = 20 * time.Second
	capRunDuration  = 50 * time.Second
)

type (
	// cappedFleet simulates nodes that all have more requests for one endpoint than it takes. All of them know of its
	// cap.
	cappedFleet struct {
		rng   *rand.Rand
		now   time.Time
		view  kernel.CapView
		nodes []*cappedNode
	}

	cappedNode struct {
		name string
		// lag is the delay after which the node learns of membership changes, known is the membership that it knows.
		lag        time.Duration
		settled    kernel.SettledNodes
		knownPeers []kernel.Peer
		updates    []membershipUpdate
		sentAt     time.Time
		down       bool
		rank       int
	}

	membershipUpdate struct {
		at    time.Time
		nodes []kernel.Peer
	}
)

func newCappedFleet(seed uint64, nodes int, perSecond float64) *cappedFleet {
	f := &cappedFleet{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0)}
	f.view = f.view.WithNotice(f.now, model.NewRateCap(perSecond))
	all := peersNamed("node", nodes)
	for _, p := range all {
		f.nodes = append(f.nodes, &cappedNode{name: p.Name, knownPeers: all, lag: f.randomLag()})
	}
	return f
}

// lag returns a random delay after which a node learns of membership changes.
func (f *cappedFleet) randomLag() time.Duration {
	return time.Duration(f.rng.IntN(3000)) * time.Millisecond
}

// tell sends the present membership to all nodes, each of which learns of it after its own delay.
func (f *cappedFleet) announceMembership() {
	var all []kernel.Peer
	for _, n := range f.nodes {
		if !n.down {
			all = append(all, kernel.Peer{Name: n.name})
		}
	}
	for _, n := range f.nodes {
		n.updates = append(n.updates, membershipUpdate{at: f.now.Add(n.lag), nodes: all})
	}
}

// first returns the highest ranked nodes of the endpoint.
func (f *cappedFleet) topRanked(count int) []*cappedNode {
	out := slices.Clone(f.nodes)
	slices.SortFunc(out, func(a, b *cappedNode) int { return cmp.Compare(a.rank, b.rank) })
	return out[:min(count, len(out))]
}

func (f *cappedFleet) join(count int) {
	for i := range count {
		f.nodes = append(f.nodes, &cappedNode{name: fmt.Sprint("joined-", i), lag: 0, rank: math.MaxInt})
	}
	f.announceMembership()
}

// play lets all nodes send as fast as they may, and returns the maximum number of requests that arrive in a window, and
// the average rate a second.
func (f *cappedFleet) run(length time.Duration, disruption func(*cappedFleet)) (maxInWindow int, perSecond float64) {
	arrivals := f.arrivals(length, disruption)
	return maxCountWithin(arrivals, capWindow), float64(len(arrivals)) / length.Seconds()
}

// arrivals lets all nodes send as fast as they may, and returns the arrival times of their requests.
func (f *cappedFleet) arrivals(length time.Duration, disruption func(*cappedFleet)) []time.Time {
	start := f.now
	var arrivals []time.Time
	for step := time.Duration(0); step < length; step += capStep {
		f.now = start.Add(step)
		if step == capDisruptionAt {
			disruption(f)
		}
		for _, n := range f.nodes {
			if !n.down && step%capRefreshInterval == 0 {
				n.refresh(f.now)
			}
			if n.down || !f.view.Due(f.now, n.sentAt, n.rank) {
				continue
			}
			n.sentAt = f.now
			arrivals = append(arrivals, f.now.Add(f.sendDelay()))
		}
	}
	return arrivals
}

// delay returns the random delay of a send; some open a connection first.
func (f *cappedFleet) sendDelay() time.Duration {
	delay := time.Duration(f.rng.IntN(50)) * time.Millisecond
	if f.rng.IntN(5) == 0 {
		delay += 650 * time.Millisecond
	}
	return delay
}

// maxCountWithin returns the maximum number of moments that lie within one window. It sorts the moments.
func maxCountWithin(moments []time.Time, window time.Duration) int {
	slices.SortFunc(moments, time.Time.Compare)
	maxCount, oldest := 0, 0
	for i, at := range moments {
		for at.Sub(moments[oldest]) > window {
			oldest++
		}
		maxCount = max(maxCount, i+1-oldest)
	}
	return maxCount
}

// refresh updates the node's view of the membership with the changes that have reached it.
func (n *cappedNode) refresh(now time.Time) {
	for _, news := range n.updates {
		if !now.Before(news.at) {
			n.knownPeers = news.nodes
		}
	}
	n.settled = n.settled.With(now, n.knownPeers)
	n.rank = n.settled.Rank(now, n.name, "engine")
}

// restart drops the state of a node except for the membership that it reads when it starts.
func (n *cappedNode) restart() {
	n.settled, n.sentAt, n.rank = kernel.SettledNodes{}, time.Time{}, math.MaxInt
}

var cappedDisruptions = map[string]func(*cappedFleet){
	"none": func(*cappedFleet) {},
	"one node joins": func(f *cappedFleet) {
		f.join(1)
	},
	"as many nodes join": func(f *cappedFleet) {
		f.join(len(f.nodes))
	},
	"a node joins that the others do not know of": func(f *cappedFleet) {
		f.nodes = append(f.nodes, &cappedNode{name: "alone", knownPeers: []kernel.Peer{{Name: "alone"}}, rank: math.MaxInt})
	},
	"the senders leave": func(f *cappedFleet) {
		for _, n := range f.topRanked(4) {
			n.down = true
		}
		f.announceMembership()
	},
	"the senders fail without an announcement": func(f *cappedFleet) {
		for _, n := range f.topRanked(4) {
			n.down = true
		}
	},
	"all restart": func(f *cappedFleet) {
		for _, n := range f.nodes {
			n.restart()
		}
	},
	"half restart": func(f *cappedFleet) {
		for _, n := range f.nodes[:len(f.nodes)/2] {
			n.restart()
		}
	},
}

// All nodes together stay within the rate cap of an endpoint without asking each other, and use most of it, whichever
// nodes join, leave, fail or restart. A cap that reaches each node alone has to be divided: eight nodes that ignored it
// sent 14 requests in four seconds to an engine that takes one a second, where 11 are allowed.
func TestFleetStaysWithinRateCap(t *testing.T) {
	t.Parallel()
	for name, disruption := range cappedDisruptions {
		for nodes, rates := range map[int][]float64{1: {1}, 2: {0.5, 5}, 8: {0, 0.1, 1, 1.4, 5, 40}, 76: {0.1, 5}, 400: {1}} {
			for _, perSecond := range rates {
				t.Run(fmt.Sprintf("%s/%d nodes/%v a second", name, nodes, perSecond), func(t *testing.T) {
					t.Parallel()
					f := newCappedFleet(uint64(nodes), nodes, perSecond)
					maxInWindow, got := f.run(capRunDuration, disruption)
					allowed := int(1.5*perSecond*capWindow.Seconds() + 5)
					must.LessEq(t, allowed, maxInWindow)
					if name == "none" {
						share := float64(min(4, nodes)) / 4
						must.GreaterEq(t, 0.75*share*perSecond, got)
					}
				})
			}
		}
	}
}

// If all nodes that share a cap are lost for good, the others probe at long intervals whether it still holds.
func TestRateCapIsProbedAfterLossOfSenders(t *testing.T) {
	t.Parallel()
	f := newCappedFleet(1, 12, 1)
	probed := 0
	maxInWindow, _ := f.run(5*time.Minute, func(f *cappedFleet) {
		for _, n := range f.topRanked(4) {
			n.down = true
		}
		for _, n := range f.nodes {
			n.sentAt = time.Time{}
		}
	})
	for _, n := range f.nodes {
		if !n.sentAt.IsZero() {
			probed++
		}
	}
	must.Positive(t, probed)
	must.LessEq(t, 11, maxInWindow)
}

// An answer is ordered by when its request was sent: one whose request was sent before a message about the cap arrived
// does not end the cap.
func TestReorderedAnswersDoNotEndRateCap(t *testing.T) {
	t.Parallel()
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	two, one, none := model.NewRateCap(2), model.NewRateCap(1), model.RateCap{}
	type answer struct {
		asked, came float64
		stated      model.RateCap
	}
	for name, tc := range map[string]struct {
		answers []answer
		want    model.RateCap
	}{
		"stated":                         {[]answer{{0, 1, two}}, two},
		"withdrawn":                      {[]answer{{0, 1, two}, {2, 3, none}}, none},
		"sent before the cap was known":  {[]answer{{0, 1, two}, {0.5, 3, none}}, two},
		"sent when the cap became known": {[]answer{{0, 1, two}, {1, 3, none}}, none},
		"raised":                         {[]answer{{0, 1, one}, {2, 3, two}}, two},
		"lowered":                        {[]answer{{0, 1, two}, {2, 3, one}}, one},
		"order of two unknown":           {[]answer{{0, 1, one}, {0.5, 1.5, two}}, one},
		"withdrawn and stated again":     {[]answer{{0, 1, two}, {2, 3, none}, {4, 5, one}}, one},
		"stated by an answer in flight":  {[]answer{{0, 1, two}, {2, 3, none}, {2.5, 4, one}}, one},
	} {
		t.Run(name, func(t *testing.T) {
			var b kernel.CapView
			for _, a := range tc.answers {
				b = b.WithAnswer(at(a.asked), at(a.came), a.stated)
			}
			must.Eq(t, tc.want, b.Cap)
		})
	}
}

// A notice of another node holds until the next one, except for an endpoint that has just stated a cap in its own
// answer.
func TestRateCapNotices(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	one, none := model.NewRateCap(1), model.RateCap{}
	noticed := kernel.CapView{}.WithNotice(now, one)
	must.Eq(t, one, noticed.Cap)
	must.Eq(t, none, noticed.WithNotice(now.Add(time.Second), none).Cap)
	answered := kernel.CapView{}.WithAnswer(now, now, one)
	must.Eq(t, one, answered.WithNotice(now.Add(time.Second), none).Cap)
	must.Eq(t, none, answered.WithNotice(now.Add(time.Minute), none).Cap)
	two, half := model.NewRateCap(2), model.NewRateCap(0.5)
	must.Eq(t, one, answered.WithNotice(now.Add(time.Minute), two).Cap, must.Sprint("the endpoint's own answer is the newer one"))
	must.Eq(t, half, answered.WithNotice(now.Add(time.Minute), half).Cap)
	must.Eq(t, two, noticed.WithNotice(now.Add(time.Minute), two).Cap)
}

// An endpoint that states another rate in each answer does not cause a write for each: senders learn the rate from the
// answers.
func TestChangingRateIsPublishedRarely(t *testing.T) {
	t.Parallel()
	start := time.Unix(1000, 0)
	published := map[int]int{}
	for rank := range 3 {
		var news kernel.CapPublisher
		for i := range 600 {
			now := start.Add(time.Duration(i) * 200 * time.Millisecond)
			news.View = news.View.WithAnswer(now, now, model.NewRateCap(1+float64(i%7)/10))
			if rank > 0 && i == 0 {
				news.ApplyNotice(now, news.View.Cap)
			}
			if news.ShouldPublish(now, rank, 0.5) {
				published[rank]++
				news.RecordWrite(now, news.View.Cap, true)
			}
		}
	}
	must.Between(t, 2, published[0], 13)
	must.EqOp(t, 0, published[1]+published[2])
}

// A cap that comes and goes with each answer is published at a limited rate. Otherwise the first node by rank would
// write at each change, five times a second for each such endpoint, beyond the bound on the writes of all nodes.
func TestIntermittentCapIsPublishedRarely(t *testing.T) {
	t.Parallel()
	const length, interval = 2 * time.Minute, 200 * time.Millisecond
	start := time.Unix(1000, 0)
	published := 0
	var news kernel.CapPublisher
	for elapsed := time.Duration(0); elapsed < length; elapsed += interval {
		now := start.Add(elapsed)
		stated := model.RateCap{}
		if elapsed/interval%2 == 0 {
			stated = model.NewRateCap(1)
		}
		news.View = news.View.WithAnswer(now, now, stated)
		if news.ShouldPublish(now, 0, 0.5) {
			published++
			news.RecordWrite(now, news.View.Cap, true)
		}
	}
	must.Between(t, 2, published, int(length/(2*time.Second))+1)
	news.View = news.View.WithAnswer(start.Add(length), start.Add(length), model.NewRateCap(1))
	must.True(t, news.Published.Stated || news.ShouldPublish(start.Add(length+2*time.Second), 0, 0.5), must.Sprint("the last change is published"))
}

// The first node by rank publishes a cap at once, the others only if no node has done so. Failed writes are retried
// with exponential backoff. The end of a cap is published as well, also when the endpoint is gone.
func TestRateCapPublishers(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	one, none := model.NewRateCap(1), model.RateCap{}
	first := kernel.CapPublisher{View: kernel.CapView{}.WithAnswer(now, now, one)}
	must.True(t, first.ShouldPublish(now, 0, 0.5))
	first.RecordWrite(now, one, false)
	must.False(t, first.ShouldPublish(now, 0, 0.5))
	must.True(t, first.ShouldPublish(now.Add(time.Second), 0, 0.5))
	first.RecordWrite(now.Add(time.Second), one, false)
	must.False(t, first.ShouldPublish(now.Add(2*time.Second), 0, 0.5))
	must.True(t, first.ShouldPublish(now.Add(3*time.Second), 0, 0.5))
	first.RecordWrite(now.Add(3*time.Second), one, true)
	must.False(t, first.ShouldPublish(now.Add(time.Hour), 0, 0.5))

	other := kernel.CapPublisher{View: kernel.CapView{}.WithAnswer(now, now, one)}
	must.False(t, other.ShouldPublish(now, 7, 0))
	must.False(t, other.ShouldPublish(now.Add(400*time.Millisecond), 7, 0))
	other.ApplyNotice(now.Add(450*time.Millisecond), one)
	must.False(t, other.ShouldPublish(now.Add(time.Hour), 7, 0))

	first.View = first.View.WithAnswer(now.Add(time.Minute), now.Add(time.Minute), none)
	must.True(t, first.ShouldPublish(now.Add(time.Minute), 0, 0.5))
	must.False(t, first.Removable())
	first.RecordWrite(now.Add(time.Minute), none, true)
	must.True(t, first.Removable())

	other.SetListed(now.Add(time.Hour), false)
	must.Eq(t, one, other.View.Cap)
	other.SetListed(now.Add(time.Hour+time.Minute), false)
	must.Eq(t, none, other.View.Cap)
	must.False(t, other.Removable())
}

// A request that only endpoints at their caps could serve is refused immediately as not run, with a Retry-After time.
func TestAdmitCappedRefusesAtOnce(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	one := kernel.CapView{}.WithNotice(now.Add(-time.Minute), model.NewRateCap(1))
	sender := kernel.CappedEndpoint{View: one, SentAt: now.Add(-time.Second)}
	other := kernel.CappedEndpoint{View: one, SentAt: now.Add(-time.Second), Rank: 9}
	for name, tc := range map[string]struct {
		endpoints []kernel.CappedEndpoint
		refused   bool
		retry     time.Duration
	}{
		"none":                            {nil, false, 0},
		"one that may be sent to":         {[]kernel.CappedEndpoint{sender, {View: one}}, false, 0},
		"this node sends later":           {[]kernel.CappedEndpoint{other, sender}, true, 3 * time.Second},
		"other nodes send":                {[]kernel.CappedEndpoint{other, other}, true, 500 * time.Millisecond},
		"other nodes send, many at once":  {slices.Repeat([]kernel.CappedEndpoint{other}, 100), true, 150 * time.Millisecond},
		"other nodes send, hardly at all": {[]kernel.CappedEndpoint{{View: kernel.CapView{}.WithNotice(now, model.NewRateCap(0)), Rank: 9}}, true, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			refusal := kernel.AdmitCapped(now, "engines", tc.endpoints)
			must.EqOp(t, tc.refused, refusal != nil)
			if refusal == nil {
				return
			}
			must.EqOp(t, model.NotRun, refusal.Verdict)
			must.EqOp(t, model.EndpointsCapped, refusal.Reason)
			must.EqOp(t, tc.retry, refusal.RetryAfter)
		})
	}
}
