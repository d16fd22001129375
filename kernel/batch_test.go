package kernel_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

var batchTraits = model.PieceTraits{
	Slots: 1, MaxBatch: 8, CallTime: 200 * time.Millisecond, PieceTime: 21 * time.Millisecond,
	Room: 18_000_000, ResultTTL: 4 * time.Second,
}

func workerEndpoints(n int) []model.Endpoint {
	var out []model.Endpoint
	for i := range n {
		out = append(out, model.Endpoint{Name: fmt.Sprint("worker-", i), Pool: "p", FailureDomain: fmt.Sprint("domain-", i%3), State: model.Live})
	}
	return out
}

// newPieceGroup returns a group whose callers wait until five seconds after it is due.
func newPieceGroup(id uint64, pieces int, bytes int64, due time.Time) kernel.PieceGroup {
	group := kernel.PieceGroup{ID: id, ResultBytes: bytes, Due: due, Until: due.Add(5 * time.Second)}
	for n := range pieces {
		group.Pieces = append(group.Pieces, model.Piece{Request: fmt.Sprint("request-", id), Number: n})
	}
	return group
}

// resultsFor returns a result for each piece of a call.
func resultsFor(batch kernel.PieceBatch) []model.PieceResult {
	var out []model.PieceResult
	for i := range batch.Pieces {
		out = append(out, model.PieceResult{Handle: fmt.Sprintf("%s/%d-%d", batch.Endpoint.Name, batch.ID, i)})
	}
	return out
}

// newBatchQueue returns a queue with the given number of workers in three failure domains.
func newBatchQueue(workers int) *kernel.BatchQueue {
	q := kernel.NewBatchQueue(batchTraits)
	q.SetEndpoints(workerEndpoints(workers))
	return q
}

func TestPiecesOfManyRequestsShareCalls(t *testing.T) {
	now := time.Unix(1000, 0)
	q := newBatchQueue(1)
	ok, _ := q.Add(now, newPieceGroup(1, 1, 8000, now.Add(3*time.Second)))
	must.True(t, ok)
	first, ok := q.Next(now)
	must.True(t, ok)
	for id := uint64(2); id < 6; id++ {
		ok, _ = q.Add(now, newPieceGroup(id, 2, 8000, now.Add(3*time.Second)))
		must.True(t, ok)
	}
	_, ok = q.Next(now)
	must.False(t, ok, must.Sprint("no call is sent to a busy worker, where other pieces could no longer join it"))
	ended, unwanted := q.Done(now.Add(221*time.Millisecond), first, resultsFor(first))
	must.Len(t, 1, ended)
	must.SliceEmpty(t, unwanted)
	second, ok := q.Next(now.Add(221 * time.Millisecond))
	must.True(t, ok)
	must.Len(t, 8, second.Pieces)
}

func TestPieceStartsOnlyWithRoomForResult(t *testing.T) {
	now := time.Unix(1000, 0)
	q := newBatchQueue(1)
	for id := uint64(1); id <= 4; id++ {
		ok, _ := q.Add(now, newPieceGroup(id, 5, 1_500_000, now.Add(5*time.Second)))
		must.True(t, ok)
	}
	var handles []string
	for {
		batch, ok := q.Next(now)
		if !ok {
			break
		}
		results := resultsFor(batch)
		for _, r := range results {
			handles = append(handles, r.Handle)
		}
		q.Done(now, batch, results)
	}
	must.Len(t, 11, handles, must.Sprint("11 results of 1.5 MB fill 97% of 18 MB"))
	q.Release(now, kernel.ResultRef{Handle: handles[0], Worker: "worker-0"})
	batch, ok := q.Next(now)
	must.True(t, ok)
	must.Len(t, 1, batch.Pieces)
}

func TestUnreleasedResultsExpire(t *testing.T) {
	now := time.Unix(1000, 0)
	q := newBatchQueue(1)
	q.Add(now, newPieceGroup(1, 8, 2_000_000, now.Add(5*time.Second)))
	batch, _ := q.Next(now)
	q.Done(now, batch, resultsFor(batch))
	q.Add(now, newPieceGroup(2, 4, 2_000_000, now.Add(9*time.Second)))
	_, ok := q.Next(now)
	must.False(t, ok)
	q.Expire(now.Add(batchTraits.ResultTTL + time.Second))
	_, ok = q.Next(now.Add(batchTraits.ResultTTL + time.Second))
	must.True(t, ok)
}

func TestCallStartsAreSpaced(t *testing.T) {
	now := time.Unix(1000, 0)
	q := newBatchQueue(5)
	q.Add(now, newPieceGroup(1, 1, 0, now.Add(5*time.Second)))
	_, ok := q.Next(now)
	must.True(t, ok)
	q.Add(now, newPieceGroup(2, 1, 0, now.Add(5*time.Second)))
	_, ok = q.Next(now.Add(q.Spacing(now) / 2))
	must.False(t, ok, must.Sprint("more pieces may join"))
	q.Add(now, newPieceGroup(3, 7, 0, now.Add(5*time.Second)))
	batch, ok := q.Next(now.Add(q.Spacing(now) / 2))
	must.True(t, ok, must.Sprint("a full call is sent at once"))
	must.Len(t, 8, batch.Pieces)
	q.Add(now, newPieceGroup(4, 1, 0, now.Add(5*time.Second)))
	_, ok = q.Next(now.Add(2 * q.Spacing(now)))
	must.True(t, ok)
}

// Of two full calls one has to wait. If both can be on time, the one that is due earlier goes first, otherwise
// the one with the higher priority, whichever was added first.
func TestUrgentGroupsGoFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	fullCallTime := batchTraits.CallTime + time.Duration(batchTraits.MaxBatch)*batchTraits.PieceTime
	for _, tc := range []struct {
		name  string
		due   time.Duration
		first string
	}{
		{"time for both", 3 * fullCallTime, "request-1"},
		{"time for one", 3 * fullCallTime / 2, "request-2"},
	} {
		q := newBatchQueue(1)
		lowRank := newPieceGroup(1, 8, 0, now.Add(tc.due))
		lowRank.Rank = 2
		q.Add(now, lowRank)
		q.Add(now, newPieceGroup(2, 8, 0, now.Add(tc.due+200*time.Millisecond)))
		batch, _ := q.Next(now)
		must.Eq(t, tc.first, batch.Pieces[0].Request, must.Sprint(tc.name))
	}
}

func TestWorkerWithoutRoomGetsNoCall(t *testing.T) {
	now := time.Unix(1000, 0)
	q := newBatchQueue(2)
	q.Add(now, newPieceGroup(1, 1, 1_500_000, now.Add(5*time.Second)))
	first, _ := q.Next(now)
	q.Done(now, first, []model.PieceResult{{Fault: model.PieceNoRoom}})
	second, ok := q.Next(now.Add(q.Spacing(now)))
	must.True(t, ok)
	must.NotEq(t, first.Endpoint.Name, second.Endpoint.Name)
}

func TestForeignResultsOccupyRoom(t *testing.T) {
	now := time.Unix(1000, 0)
	q := newBatchQueue(1)
	q.TakeOver(now)
	q.SetFreeRoom(now, "worker-0", 4_000_000)
	q.Add(now, newPieceGroup(1, 8, 1_500_000, now.Add(5*time.Second)))
	batch, ok := q.Next(now)
	must.True(t, ok)
	must.Len(t, 2, batch.Pieces)
	q.Done(now, batch, resultsFor(batch))
	_, ok = q.Next(now.Add(q.Spacing(now)))
	must.False(t, ok)
	q.Release(now, kernel.ResultRef{Handle: "unknown here", Worker: "worker-0", Bytes: 3_000_000})
	batch, ok = q.Next(now.Add(q.Spacing(now)))
	must.True(t, ok)
	must.Len(t, 2, batch.Pieces)
}

func TestEstimateWaitIncludesRoom(t *testing.T) {
	now := time.Unix(1000, 0)
	q := newBatchQueue(1)
	group := newPieceGroup(9, 4, 1_500_000, now.Add(9*time.Second))
	must.Eq(t, 0, q.EstimateWait(now, group))
	q.Add(now, newPieceGroup(1, 8, 1_500_000, now.Add(5*time.Second)))
	batch, _ := q.Next(now)
	results := resultsFor(batch)
	q.Done(now.Add(368*time.Millisecond), batch, results)
	// 12 of 17.46 MB are taken, and the worker is free.
	must.Positive(t, q.EstimateWait(now, group))
	for _, r := range results {
		q.Release(now.Add(900*time.Millisecond), kernel.ResultRef{Handle: r.Handle, Worker: "worker-0"})
	}
	must.Eq(t, 0, q.EstimateWait(now, group))
}

func TestLateGroupsGoLast(t *testing.T) {
	now := time.Unix(1000, 0)
	q := newBatchQueue(1)
	q.Add(now, newPieceGroup(1, 8, 0, now.Add(100*time.Millisecond)))
	q.Add(now, newPieceGroup(2, 8, 0, now.Add(900*time.Millisecond)))
	batch, ok := q.Next(now)
	must.True(t, ok)
	must.Eq(t, "request-2", batch.Pieces[0].Request)
}

func TestLateGroupIsRefusedUnderBacklog(t *testing.T) {
	now := time.Unix(1000, 0)
	q := newBatchQueue(1)
	for id := uint64(1); id <= 3; id++ {
		ok, _ := q.Add(now, newPieceGroup(id, 8, 0, now.Add(2*time.Second)))
		must.True(t, ok)
	}
	// Three full calls of 368 ms go before group 4. Group 5 still ends within 2 s, group 6 would not.
	for id := uint64(4); id <= 5; id++ {
		ok, _ := q.Add(now, newPieceGroup(id, 8, 0, now.Add(2*time.Second)))
		must.True(t, ok)
	}
	ok, retry := q.Add(now, newPieceGroup(6, 8, 0, now.Add(2*time.Second)))
	must.False(t, ok)
	must.Positive(t, retry)
}

func TestPiecesWaitForLocalWorkerUpToLocalityWait(t *testing.T) {
	now := time.Unix(1000, 0)
	q := newBatchQueue(3)
	first := newPieceGroup(1, 1, 0, now.Add(5*time.Second))
	first.Domain = "domain-1"
	first.LocalityWait = 150 * time.Millisecond
	q.Add(now, first)
	batch, ok := q.Next(now)
	must.True(t, ok)
	must.Eq(t, "domain-1", batch.Endpoint.FailureDomain)
	second := newPieceGroup(2, 1, 0, now.Add(5*time.Second))
	second.Domain = "domain-1"
	second.LocalityWait = 150 * time.Millisecond
	q.Add(now, second)
	_, ok = q.Next(now.Add(50 * time.Millisecond))
	must.False(t, ok)
	batch, ok = q.Next(now.Add(200 * time.Millisecond))
	must.True(t, ok)
	must.NotEq(t, "domain-1", batch.Endpoint.FailureDomain)
}

func TestLeavingWorkerGetsNoCall(t *testing.T) {
	now := time.Unix(1000, 0)
	q := newBatchQueue(1)
	leaving := workerEndpoints(1)
	leaving[0].State = model.Leaving
	q.SetEndpoints(leaving)
	group := newPieceGroup(1, 1, 0, now.Add(9*time.Second))
	q.Add(now, group)
	_, ok := q.Next(now)
	must.False(t, ok)
}

// Under load a worker that becomes free finds many groups waiting. Among groups that are due at about the same
// time it takes those with inputs in its own failure domain, which halves the bytes of results sent between
// domains at equal load.
func TestWorkerPrefersGroupsOfOwnDomain(t *testing.T) {
	now := time.Unix(1000, 0)
	q := newBatchQueue(2)
	due := now.Add(2 * time.Second)
	for id := uint64(1); id <= 4; id++ {
		group := newPieceGroup(id, 8, 8000, due.Add(time.Duration(id)*time.Millisecond))
		group.Domain = fmt.Sprint("domain-", id%2)
		group.LocalityWait = 100 * time.Millisecond
		q.Add(now, group)
	}
	urgent := newPieceGroup(5, 8, 8000, due.Add(-time.Second))
	urgent.Domain = "domain-0"
	urgent.LocalityWait = 100 * time.Millisecond
	q.Add(now, urgent)
	later := now.Add(500 * time.Millisecond)
	taken := map[string][]string{}
	for range 2 {
		batch, ok := q.Next(later)
		must.True(t, ok)
		taken[batch.Endpoint.FailureDomain] = append(taken[batch.Endpoint.FailureDomain], batch.Pieces[0].Request)
	}
	must.Eq(t, []string{"request-5"}, taken["domain-0"], must.Sprint("a group that is due a second earlier goes first"))
	must.Eq(t, []string{"request-1"}, taken["domain-1"])
}

// Five workers are spread over three failure domains, and each piece fetches all results of the previous stage, 1.4
// MB a request. At two thirds of the capacity, groups that may wait for the next call in their domain are rarely
// made in another one, and wait no longer than two full calls.
func TestLocalityWaitKeepsPiecesInDomain(t *testing.T) {
	traits := model.PieceTraits{Slots: 1, MaxBatch: 40, CallTime: 240 * time.Millisecond, PieceTime: 5100 * time.Microsecond, ResultTTL: 4 * time.Second}
	fullCallTime := 444 * time.Millisecond
	run := func(policy kernel.Policy) (groups, moved int, longest time.Duration) {
		start := time.Unix(1000, 0)
		q := kernel.NewBatchQueue(traits)
		q.SetPolicy(policy)
		q.SetEndpoints(workerEndpoints(5))
		domains := map[uint64]string{}
		var running []kernel.PieceBatch
		completeCall := func(now time.Time, batch kernel.PieceBatch) {
			ended, _ := q.Done(now, batch, resultsFor(batch))
			for _, o := range ended {
				groups++
				longest = max(longest, o.Waited)
				if o.Made[0].Domain != domains[o.Group] {
					moved++
				}
			}
		}
		for step := range 4000 {
			now := start.Add(time.Duration(step) * 5 * time.Millisecond)
			for len(running) > 0 && !now.Before(running[0].StartedAt().Add(fullCallTime)) {
				completeCall(now, running[0])
				running = running[1:]
			}
			if step%4 == 0 {
				id := uint64(step)
				group := newPieceGroup(id, 6, 6000, now.Add(2*time.Second))
				group.Domain = fmt.Sprint("domain-", []int{0, 0, 1, 1, 2}[step/4%5])
				group.LocalityWait = kernel.LocalityWait(1_400_000, fullCallTime, 2*time.Second-fullCallTime)
				domains[id] = group.Domain
				q.Add(now, group)
			}
			for batch, ok := q.Next(now); ok; batch, ok = q.Next(now) {
				running = append(running, batch)
			}
		}
		return groups, moved, longest
	}
	groups, moved, longest := run(kernel.Policy{})
	_, movedWithout, _ := run(kernel.Policy{}.Without(kernel.InputLocality))
	t.Logf("%d groups: %d made in another domain, %d without InputLocality; longest wait %v", groups, moved, movedWithout, longest)
	must.Less(t, groups/10, moved)
	must.Greater(t, groups/5, movedWithout)
	must.LessEq(t, 2*fullCallTime, longest)
}

// A worker that restarts under its name has all its room free: results of its former incarnation are not counted.
// Groups with those results as inputs end at once, as the new process may assign the same handles to other
// requests.
func TestRestartedWorkerHoldsNoResults(t *testing.T) {
	now := time.Unix(1000, 0)
	first := model.Endpoint{Name: "m", Pool: "p", State: model.Live, Started: time.Unix(900, 0)}
	restarted := first
	restarted.Started = time.Unix(999, 0)
	q := kernel.NewBatchQueue(model.PieceTraits{Slots: 1, MaxBatch: 4, CallTime: 200 * time.Millisecond, PieceTime: time.Millisecond, Room: 1000, ResultTTL: 4 * time.Second})
	q.SetEndpoints([]model.Endpoint{first})
	must.True(t, addGroup(q, now, 1, 2, 400))
	batch, ok := q.Next(now)
	must.True(t, ok)
	ended, _ := q.Done(now.Add(200*time.Millisecond), batch, []model.PieceResult{{Handle: "h1"}, {Handle: "h2"}})
	must.SliceLen(t, 1, ended)
	made := ended[0].Made
	must.EqOp(t, first.Incarnation(), made[0].Worker)
	now = now.Add(time.Second)
	must.True(t, addGroup(q, now, 2, 2, 400))
	_, ok = q.Next(now)
	must.False(t, ok, must.Sprint("the room is taken"))
	q.SetEndpoints([]model.Endpoint{restarted})
	batch, ok = q.Next(now)
	must.True(t, ok, must.Sprint("the room of the former incarnation is free"))
	must.EqOp(t, restarted.Incarnation(), batch.Endpoint.Incarnation())
	q.Release(now, made[0])
	used, _ := q.Usage(restarted.Incarnation())
	must.EqOp(t, 800, used, must.Sprint("releasing a result of the former incarnation frees no room of the new one"))

	accepted, _ := q.Add(now, kernel.PieceGroup{
		ID: 3, Pieces: []model.Piece{{Request: "r", Number: 0}}, ResultBytes: 400, Inputs: made,
		Due: now.Add(5 * time.Second), Until: now.Add(5 * time.Second),
	})
	must.True(t, accepted)
	stale := q.EndStale(func(incarnation string) bool { return incarnation == first.Incarnation() })
	must.SliceLen(t, 1, stale)
	must.EqOp(t, model.PieceInputGone, stale[0].Fault)
}

// addGroup adds a group that is due, and whose callers leave, in five seconds. It reports whether the group was
// accepted.
func addGroup(q *kernel.BatchQueue, now time.Time, id uint64, count int, bytes int64) bool {
	group := kernel.PieceGroup{ID: id, ResultBytes: bytes, Due: now.Add(5 * time.Second), Until: now.Add(5 * time.Second)}
	for n := range count {
		group.Pieces = append(group.Pieces, model.Piece{Request: "r", Number: n})
	}
	accepted, _ := q.Add(now, group)
	return accepted
}
