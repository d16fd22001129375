package kernel_test

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/share"
)

const (
	// shareStep is the time step of the model, shareExpireInterval the interval between calls of Expire.
	shareStep           = 2 * time.Millisecond
	shareExpireInterval = 50 * time.Millisecond
	// maxShareAttempts is how often a caller of the model tries, shareAfterStages the time that a request needs after its
	// pieces are made.
	maxShareAttempts = 3
	// impatientRetry is after how long callers retry that do not wait as told, maxImpatientAttempts how often they try.
	impatientRetry       = 60 * time.Millisecond
	maxImpatientAttempts = 10
	shareAfterStages     = 150 * time.Millisecond
)

// The two kinds of pools that limited requests on days with 61 nodes: many small results, and few large ones.
var (
	smallResults = sharePool{traits: model.PieceTraits{Slots: 1, MaxBatch: 46, CallTime: 200 * time.Millisecond, PieceTime: 3700 * time.Microsecond, ResultTTL: 4 * time.Second}, workers: 15}
	largeResults = sharePool{traits: model.PieceTraits{Slots: 1, MaxBatch: 8, CallTime: 200 * time.Millisecond, PieceTime: 21 * time.Millisecond, Room: 18_000_000, ResultTTL: 4 * time.Second}, workers: 18}
)

type (
	sharePool struct {
		traits  model.PieceTraits
		workers int
	}

	// shareFlow is the load of one rank of one customer: groups a second, multiplied by burst between from and to.
	shareFlow struct {
		customer  string
		rank      int
		perSecond float64
		pieces    int
		bytes     int64
		objective time.Duration
		burst     float64
		from, to  time.Duration
	}

	// shareRequest is a request of the model and how it ended.
	shareRequest struct {
		shareFlow
		id        int
		firstAt   time.Time
		attempts  int
		refusals  int
		refusedAt []time.Time
		// retryAt is when the caller was last told to retry.
		retryAt time.Time
		late    bool
		onTime  bool
	}

	shareModel struct {
		sharePool
		// shared has the groups of a request ordered by shares; nil for all.
		shared func(id int) bool
		// impatient has the callers of a request retry at once; nil for none.
		impatient func(r *shareRequest) bool
		// restartAt is when another batcher begins with an empty queue; zero for never.
		restartAt time.Duration

		queue    *kernel.BatchQueue
		random   *rand.Rand
		began    time.Time
		now      time.Time
		requests []*shareRequest
		open     map[uint64]*shareRequest
		lastID   uint64
		running  map[time.Time][]kernel.PieceBatch
		retries  map[time.Time][]*shareRequest
		held     map[time.Time][]kernel.ResultRef
		// piecesMade counts the pieces of calls started between countFrom and countTo, piecesOnTime those of groups that were
		// completed on time.
		countFrom, countTo       time.Duration
		piecesMade, piecesOnTime int
	}
)

// piecesPerSecond returns how many pieces the pool makes in a second in full calls.
func (p sharePool) piecesPerSecond() float64 {
	full := p.traits.CallTime + time.Duration(p.traits.MaxBatch)*p.traits.PieceTime
	return float64(p.workers*p.traits.MaxBatch) / full.Seconds()
}

// run plays the flows for a time and returns all requests.
func (m *shareModel) run(seed uint64, length time.Duration, flows []shareFlow) []*shareRequest {
	m.random = rand.New(rand.NewPCG(seed, 0))
	m.began = time.Unix(1000, 0)
	m.now = m.began
	m.running, m.retries, m.held = map[time.Time][]kernel.PieceBatch{}, map[time.Time][]*shareRequest{}, map[time.Time][]kernel.ResultRef{}
	m.requests, m.open, m.piecesMade, m.piecesOnTime = nil, map[uint64]*shareRequest{}, 0, 0
	m.startQueue()
	next := make([]time.Time, len(flows))
	for i := range flows {
		next[i] = m.now.Add(m.interval(flows[i]))
	}
	for ; m.now.Sub(m.began) < length+3*time.Second; m.now = m.now.Add(shareStep) {
		if m.restartAt > 0 && m.now.Sub(m.began) == m.restartAt {
			m.restart()
		}
		m.endCalls()
		for i, f := range flows {
			for ; !next[i].After(m.now) && m.now.Sub(m.began) < length; next[i] = next[i].Add(m.interval(f)) {
				m.requests = append(m.requests, &shareRequest{shareFlow: f, id: len(m.requests), firstAt: m.now})
				m.attempt(m.requests[len(m.requests)-1])
			}
		}
		for _, r := range m.retries[m.now] {
			m.attempt(r)
		}
		delete(m.retries, m.now)
		if m.now.Sub(m.began)%shareExpireInterval == 0 {
			m.recordEnded(m.queue.Expire(m.now))
		}
		m.startCalls()
	}
	return m.requests
}

func (m *shareModel) startQueue() {
	m.queue = kernel.NewBatchQueue(m.traits)
	m.queue.SetEndpoints(workerEndpoints(m.workers))
}

// restart has another batcher take over: the calls of the last one go on, and its waiting groups are sent again.
func (m *shareModel) restart() {
	m.startQueue()
	m.queue.TakeOver(m.now)
	lost := m.open
	m.open, m.running = map[uint64]*shareRequest{}, map[time.Time][]kernel.PieceBatch{}
	ids := make([]uint64, 0, len(lost))
	for id := range lost {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		m.attempt(lost[id])
	}
}

func (m *shareModel) interval(f shareFlow) time.Duration {
	rate := f.perSecond
	if at := m.now.Sub(m.began); f.burst > 0 && at >= f.from && at < f.to {
		rate *= f.burst
	}
	return time.Duration(m.random.ExpFloat64() / rate * float64(time.Second))
}

// attempt sends a request: refused at the door by the estimate, as kernel.AdmitStages does, or by the queue.
func (m *shareModel) attempt(r *shareRequest) {
	r.attempts++
	m.lastID++
	due := r.firstAt.Add(r.objective - shareAfterStages)
	group := kernel.PieceGroup{
		ID: m.lastID, ResultBytes: r.bytes, Rank: r.rank, Customer: r.customer, Due: due, Until: due.Add(3 * time.Second),
		Shared: m.shared == nil || m.shared(r.id), FirstSentAt: m.now,
	}
	if r.attempts > 1 {
		group.Waited = m.now.Sub(r.firstAt)
	}
	for n := range r.pieces {
		group.Pieces = append(group.Pieces, model.Piece{Request: fmt.Sprint(r.id, "/", r.attempts), Number: n})
	}
	f := model.Forward{ID: group.Pieces[0].Request, ReceivedAt: m.now, Pieces: []int{r.pieces}}.WithWaited(group.Waited)
	a := kernel.Admission{Route: model.Route{Objective: r.objective, Stages: []model.StageNode{{Pool: "p", ResultBytes: r.bytes}}}, Deadline: group.Until, Customer: r.customer, Rank: r.rank}
	estimates := []kernel.PoolEstimate{{Traits: m.traits, Wait: m.queue.EstimateWait(m.now, group), Shares: m.queue.ShareStanding(m.now, group)}}
	plan := kernel.PlanStages(f, a, estimates, shareAfterStages)
	if refusal := kernel.AdmitStages(m.now, f, a, plan, estimates); refusal != nil {
		m.refuse(r, refusal.RetryAfter)
		return
	}
	if refusal := kernel.RefuseEarlyRetry(estimates, r.retryAt.Sub(m.now)); refusal != nil {
		m.refuse(r, refusal.RetryAfter)
		return
	}
	if accepted, retry := m.queue.Add(m.now, group); !accepted {
		m.refuse(r, retry)
		return
	}
	m.open[group.ID] = r
}

func (m *shareModel) refuse(r *shareRequest, retry time.Duration) {
	r.refusals++
	r.refusedAt = append(r.refusedAt, m.now)
	r.retryAt = m.now.Add(retry)
	attempts := maxShareAttempts
	if m.impatient != nil && m.impatient(r) {
		retry = impatientRetry
		attempts = maxImpatientAttempts
	}
	if r.attempts < attempts && r.firstAt.Add(r.objective).After(m.now.Add(retry)) {
		at := m.stepAfter(retry)
		m.retries[at] = append(m.retries[at], r)
	}
}

func (m *shareModel) stepAfter(after time.Duration) time.Time {
	return m.now.Add(after).Truncate(shareStep).Add(shareStep)
}

func (m *shareModel) startCalls() {
	for {
		batch, ok := m.queue.Next(m.now)
		if !ok {
			return
		}
		if at := m.now.Sub(m.began); at >= m.countFrom && at < m.countTo {
			m.piecesMade += len(batch.Pieces)
		}
		at := m.stepAfter(m.traits.CallTime + time.Duration(len(batch.Pieces))*m.traits.PieceTime)
		m.running[at] = append(m.running[at], batch)
	}
}

func (m *shareModel) endCalls() {
	for _, made := range m.held[m.now] {
		m.queue.Release(m.now, made)
	}
	delete(m.held, m.now)
	for _, batch := range m.running[m.now] {
		ended, unwanted := m.queue.Done(m.now, batch, resultsFor(batch))
		m.recordEnded(ended)
		m.hold(unwanted, 0)
	}
	delete(m.running, m.now)
}

func (m *shareModel) hold(made []kernel.ResultRef, length time.Duration) {
	at := m.stepAfter(length)
	m.held[at] = append(m.held[at], made...)
}

func (m *shareModel) recordEnded(ended []kernel.GroupOutcome) {
	slices.SortFunc(ended, func(a, b kernel.GroupOutcome) int { return cmp.Compare(a.Group, b.Group) })
	for _, o := range ended {
		r := m.open[o.Group]
		delete(m.open, o.Group)
		m.hold(o.Made, 300*time.Millisecond)
		switch {
		case o.Fault != "":
			m.refuse(r, kernel.ClampRetryAfter(o.Wait))
		case m.now.Add(shareAfterStages).After(r.firstAt.Add(r.objective)):
			r.late = true
		default:
			r.onTime = true
			if at := m.now.Sub(m.began); at >= m.countFrom && at < m.countTo {
				m.piecesOnTime += r.pieces
			}
		}
	}
}

// shareCounts are the outcomes of some requests.
type shareCounts struct {
	all, onTime, late, refused, refusals int
}

func (c shareCounts) onTimePart() float64 {
	return float64(c.onTime) / float64(max(1, c.all))
}

func (c shareCounts) plus(o shareCounts) shareCounts {
	return shareCounts{c.all + o.all, c.onTime + o.onTime, c.late + o.late, c.refused + o.refused, c.refusals + o.refusals}
}

func countShares(requests []*shareRequest, selects func(*shareRequest) bool) shareCounts {
	var c shareCounts
	for _, r := range requests {
		if !selects(r) {
			continue
		}
		c.all++
		c.refusals += r.refusals
		switch {
		case r.onTime:
			c.onTime++
		case r.late:
			c.late++
		default:
			c.refused++
		}
	}
	return c
}

// demandBefore returns the pieces that each customer asked for in the second before a time.
func (m *shareModel) demandBefore(at time.Time) map[string]float64 {
	from, _ := slices.BinarySearchFunc(m.requests, at.Add(-time.Second), func(r *shareRequest, t time.Time) int { return r.firstAt.Compare(t) })
	out := map[string]float64{}
	for _, r := range m.requests[from:] {
		if r.firstAt.After(at) {
			break
		}
		out[r.customer] += float64(r.pieces)
	}
	return out
}

// refusalsWithinShare counts the refusals of requests whose customers asked, in the second before, for less than their
// max-min share of the pool.
func (m *shareModel) refusalsWithinShare() int {
	count := 0
	for _, r := range m.requests {
		for _, at := range r.refusedAt {
			pieces := m.demandBefore(at)
			demands := []share.Demand{{Amount: pieces[r.customer]}}
			for _, customer := range slices.Sorted(maps.Keys(pieces)) {
				if customer != r.customer {
					demands = append(demands, share.Demand{Amount: pieces[customer]})
				}
			}
			if share.Divide(m.piecesPerSecond(), demands)[0] >= pieces[r.customer] {
				count++
			}
		}
	}
	return count
}

// rankFlows returns the load of a number of customers of skewed sizes in three ranks, which together ask for load times
// the capacity of the pool, with a burst in rank 10.
func rankFlows(p sharePool, customers int, load, burst float64, from, to time.Duration) []shareFlow {
	var flows []shareFlow
	weights := 0.0
	for i := range customers {
		weights += 1 / float64(i+1)
	}
	for i := range customers {
		part := load * p.piecesPerSecond() / weights / float64(i+1)
		for rank, pieces := range map[int]int{10: 6, 11: 3, 12: 5} {
			f := shareFlow{customer: fmt.Sprint("customer-", i), rank: rank, pieces: pieces, bytes: 8000, objective: 1100 * time.Millisecond}
			f.perSecond = part / 3 / float64(pieces)
			if p.traits.Room > 0 {
				f.bytes = 1_500_000
			}
			if rank == 10 {
				f.burst, f.from, f.to = burst, from, to
			}
			flows = append(flows, f)
		}
	}
	slices.SortFunc(flows, func(a, b shareFlow) int {
		return cmp.Or(cmp.Compare(a.customer, b.customer), cmp.Compare(a.rank, b.rank))
	})
	return flows
}

// floodFlows returns the load of one customer that asks for three times the capacity of a pool, and of four that ask for
// 0.03 of it each, in several ranks.
func floodFlows(p sharePool) []shareFlow {
	var flows []shareFlow
	for i := range 5 {
		f := shareFlow{customer: fmt.Sprint("customer-", i), rank: 10 + i%3, pieces: 4, bytes: 8000, objective: 1100 * time.Millisecond, perSecond: 0.03 * p.piecesPerSecond() / 4}
		if p.traits.Room > 0 {
			f.bytes = 1_500_000
		}
		if i == 0 {
			f.perSecond *= 100
		}
		flows = append(flows, f)
	}
	return flows
}

func noneShared(int) bool { return false }

// burstResult is the outcome of bursts in rank 10, in total and by rank from 10 to 12.
type burstResult struct {
	all    shareCounts
	byRank [3]shareCounts
	// withinShare counts the refusals of customers that asked for less than their shares, used is the part of the pool's
	// capacity that was used.
	withinShare int
	used        float64
}

// playBursts plays bursts of three times the usual load in rank 10 with several seeds, beside ranks 11 and 12.
func playBursts(p sharePool, customers int, seeds uint64, shared func(int) bool) burstResult {
	var out burstResult
	from, to := 3*time.Second, 10*time.Second
	for seed := range seeds {
		m := &shareModel{sharePool: p, shared: shared, countFrom: from + time.Second, countTo: to}
		requests := m.run(seed, 12*time.Second, rankFlows(p, customers, 0.8, 3, from, to))
		for i := range out.byRank {
			c := countShares(requests, func(r *shareRequest) bool {
				at := r.firstAt.Sub(m.began)
				return r.rank == 10+i && at >= from && at < to
			})
			out.byRank[i] = out.byRank[i].plus(c)
			out.all = out.all.plus(c)
		}
		out.withinShare += m.refusalsWithinShare()
		out.used += float64(m.piecesMade) / (m.countTo - m.countFrom).Seconds() / p.piecesPerSecond() / float64(seeds)
	}
	return out
}

// Guards against bursts in which customers that ask for less than their shares are refused, low ranks starve, high ranks
// are refused as often as low ones, or work is late or calls are lost because of the order.
func TestSharesInBurst(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name      string
		pool      sharePool
		customers int
		seeds     uint64
		// byRank is true if most customers are in several ranks at a time: rank counts within a customer.
		byRank bool
	}{
		{"small results", smallResults, 16, 2, true},
		{"large results", largeResults, 16, 3, true},
		{"740 customers", smallResults, 740, 1, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			plain, now := playBursts(tc.pool, tc.customers, tc.seeds, noneShared), playBursts(tc.pool, tc.customers, tc.seeds, nil)
			t.Logf("without shares: %+v", plain)
			t.Logf("by shares: %+v", now)
			must.Less(t, plain.withinShare/2, now.withinShare)
			must.Less(t, plain.all.late/2, now.all.late)
			must.Greater(t, plain.all.onTime, now.all.onTime)
			must.Greater(t, 0.95*plain.used, now.used)
			for i, rank := range now.byRank {
				must.Greater(t, now.all.onTimePart()/4, rank.onTimePart(), must.Sprint("rank ", 10+i))
			}
			if tc.byRank {
				must.Greater(t, now.byRank[2].onTimePart(), now.byRank[0].onTimePart())
			}
		})
	}
}

// Guards against a customer whose flood leaves others without calls, and capacity that is idle while it asks. How much of the
// capacity can be used depends on the sizes of groups and on room, so it is compared with a queue without shares. Where room
// binds, that queue also starts more pieces of groups that are never completed.
func TestSharesUnderFlood(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name  string
		pool  sharePool
		seeds uint64
		// used is the least part of the capacity that is used, relative to a queue without shares.
		used float64
	}{
		{"small results", smallResults, 1, 0.95},
		{"large results", largeResults, 6, 0.9},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			play := func(shared func(int) bool) (flood, small shareCounts, used, usedOnTime float64) {
				for seed := range tc.seeds {
					m := &shareModel{sharePool: tc.pool, shared: shared, countFrom: 2 * time.Second, countTo: 8 * time.Second}
					requests := m.run(seed, 8*time.Second, floodFlows(tc.pool))
					flood = flood.plus(countShares(requests, isFlood))
					small = small.plus(countShares(requests, func(r *shareRequest) bool { return !isFlood(r) }))
					capacity := (m.countTo - m.countFrom).Seconds() * tc.pool.piecesPerSecond() * float64(tc.seeds)
					used += float64(m.piecesMade) / capacity
					usedOnTime += float64(m.piecesOnTime) / capacity
				}
				return flood, small, used, usedOnTime
			}
			floodPlain, smallPlain, usedPlain, onTimePlain := play(noneShared)
			flood, small, used, onTime := play(nil)
			t.Logf("without shares: flood %+v, small %+v, used %.3f, on time %.3f", floodPlain, smallPlain, usedPlain, onTimePlain)
			t.Logf("by shares: flood %+v, small %+v, used %.3f, on time %.3f", flood, small, used, onTime)
			must.GreaterEq(t, 0.95, small.onTimePart())
			must.GreaterEq(t, tc.used*usedPlain, used)
			t.Run("target of the used capacity", func(t *testing.T) {
				must.GreaterEq(t, 0.95*usedPlain, used)
			})
			must.GreaterEq(t, 0.8*used, onTime)
		})
	}
}

func isFlood(r *shareRequest) bool {
	return r.customer == "customer-0"
}

// Guards against a lost batcher whose successor takes longer than two seconds to find the shares.
func TestSharesAfterBatcherIsLost(t *testing.T) {
	t.Parallel()
	for _, pool := range []sharePool{smallResults, largeResults} {
		for seed := range uint64(2) {
			m := &shareModel{sharePool: pool, restartAt: 3 * time.Second}
			requests := m.run(seed, 7*time.Second, floodFlows(pool))
			small := func(from, to time.Duration) shareCounts {
				return countShares(requests, func(r *shareRequest) bool {
					at := r.firstAt.Sub(m.began)
					return !isFlood(r) && at >= from && at < to
				})
			}
			t.Logf("small customers in the first 2 s: %+v, later: %+v", small(3*time.Second, 5*time.Second), small(5*time.Second, 7*time.Second))
			must.GreaterEq(t, 0.95, small(5*time.Second, 7*time.Second).onTimePart())
		}
	}
}

// Guards against callers that gain by not waiting as told, or take from those that do, within one customer.
func TestImpatientCallersGainNothing(t *testing.T) {
	t.Parallel()
	isHasty := func(r *shareRequest) bool { return r.id%2 == 0 }
	play := func(impatient func(r *shareRequest) bool) (waiting, hasty shareCounts) {
		m := &shareModel{sharePool: smallResults, impatient: impatient}
		requests := m.run(0, 6*time.Second, floodFlows(smallResults))
		return countShares(requests, func(r *shareRequest) bool { return !isHasty(r) }), countShares(requests, isHasty)
	}
	_, asTold := play(nil)
	waiting, hasty := play(isHasty)
	t.Logf("waiting %+v, hasty %+v, the same if they wait %+v", waiting, hasty, asTold)
	must.GreaterEq(t, hasty.onTimePart(), waiting.onTimePart())
	must.Less(t, 1.1*asTold.onTimePart(), hasty.onTimePart())
}

// Guards against groups of nodes of an earlier build that lose their places to those of new nodes, or fewer requests on
// time in all while both run.
func TestSharesBesideEarlierBuild(t *testing.T) {
	t.Parallel()
	half := func(id int) bool { return id%2 == 0 }
	plain, mixed := playBursts(smallResults, 16, 2, noneShared), playBursts(smallResults, 16, 2, half)
	t.Logf("without shares: %+v", plain)
	t.Logf("half by shares: %+v", mixed)
	must.GreaterEq(t, plain.all.onTime, mixed.all.onTime)
	must.Less(t, plain.withinShare, mixed.withinShare)
}
