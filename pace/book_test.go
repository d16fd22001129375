package pace_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/pace"
)

// record records a response of each endpoint of a book every 100 ms for some time. times has the elapsed time and the
// load by endpoint.
func record(book *pace.Book, from time.Time, d time.Duration, responses map[string]pace.Response) time.Time {
	const interval = 100 * time.Millisecond
	for now := from; now.Before(from.Add(d)); now = now.Add(interval) {
		for name, r := range responses {
			r.Kind = "call"
			book.RecordResponse(now, name, r)
		}
	}
	return from.Add(d)
}

func newPoolBook(responses map[string]pace.Response) *pace.Book {
	book := pace.NewBook()
	usual := pace.Response{Elapsed: serviceTime, Load: model.Load{Slots: slots, Contention: 1}}
	for i := range 5 {
		responses[fmt.Sprint("usual-", i)] = usual
	}
	return book
}

// Guards against speeds that are mixed up with what else makes a response late: contention and waiting.
func TestSpeedExcludesContentionAndWaiting(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		response   pace.Response
		speed      float64
		contention float64
	}{
		"slow machine":      {pace.Response{Elapsed: 3 * serviceTime, Load: model.Load{Slots: 2, Contention: 1}}, 3, 1},
		"contention":        {pace.Response{Elapsed: 3 * serviceTime, Load: model.Load{Slots: 2, Contention: 3}}, 1, 3},
		"both":              {pace.Response{Elapsed: 3 * serviceTime, Load: model.Load{Slots: 2, Contention: 1.5}}, 2, 1.5},
		"waiting":           {pace.Response{Elapsed: 3 * serviceTime, Waited: true, Load: model.Load{Slots: 2, Queued: 4, Contention: 1}}, 1, 1},
		"nothing is stated": {pace.Response{Elapsed: 2 * serviceTime}, 2, 1.0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			responses := map[string]pace.Response{"a": tc.response}
			book := newPoolBook(responses)
			now := record(book, epoch, 3*time.Second, responses)
			estimate := book.Estimate(now, "a")
			must.InDelta(t, tc.speed, estimate.Speed, 0.15*tc.speed)
			must.InDelta(t, tc.contention, estimate.Contention, 0.25*tc.contention)
		})
	}
}

// Guards against estimates that outlive a change: an endpoint that becomes slow, or fast again, is known as such within
// two seconds, and one that gets no requests because it was slow is tried again.
func TestChangeIsLearnedWithinTwoSeconds(t *testing.T) {
	t.Parallel()
	responses := map[string]pace.Response{"a": {Elapsed: serviceTime, Load: model.Load{Slots: 2, Contention: 1}}}
	book := newPoolBook(responses)
	now := record(book, epoch, 10*time.Second, responses)
	for _, factor := range []float64{3, 1, 3} {
		r := responses["a"]
		r.Elapsed = time.Duration(factor * float64(serviceTime))
		responses["a"] = r
		now = record(book, now, 2*time.Second, responses)
		must.InDelta(t, factor, book.Estimate(now, "a").Speed, 0.1*factor)
	}
	delete(responses, "a")
	now = record(book, now, 15*time.Second, responses)
	must.Less(t, 1.1, book.Estimate(now, "a").Speed)
}

// Guards against a new incarnation that is avoided because its predecessor was slow: it starts at the median of the pool,
// as any unknown endpoint.
func TestNewIncarnationStartsAtMedian(t *testing.T) {
	t.Parallel()
	old := model.Endpoint{Name: "a", Started: epoch}
	restarted := model.Endpoint{Name: "a", Started: epoch.Add(time.Minute)}
	responses := map[string]pace.Response{old.Incarnation(): {Elapsed: 4 * serviceTime, Load: model.Load{Slots: 2, Contention: 2}}}
	book := newPoolBook(responses)
	now := record(book, epoch, 3*time.Second, responses)
	must.Greater(t, 3, book.Estimate(now, old.Incarnation()).Slowness())
	must.EqOp(t, 1, book.Estimate(now, restarted.Incarnation()).Speed)
	must.Less(t, 1.3, book.Estimate(now, restarted.Incarnation()).Slowness())
	book.Forget(old.Incarnation())
	must.EqOp(t, 1, book.Estimate(now, old.Incarnation()).Speed)
}

// Guards against a book that grows with each restart of an endpoint, and against values that spoil the estimates.
func TestBookIsBoundedAndFinite(t *testing.T) {
	t.Parallel()
	book := pace.NewBook()
	now := epoch
	for i := range 2000 {
		now = now.Add(100 * time.Millisecond)
		name := fmt.Sprint("endpoint-", i)
		for _, contention := range []float64{0, -1, 1e300, 1e-300} {
			book.RecordResponse(now, name, pace.Response{Elapsed: time.Duration(i%3) * time.Hour, Waited: true, Load: model.Load{Contention: contention}})
		}
		slowness := book.Estimate(now, name).Slowness()
		must.True(t, slowness > 0 && slowness <= 1e6)
	}
	must.LessEq(t, 310, book.Len())
}

func BenchmarkChoice(b *testing.B) {
	for _, n := range []int{12, 790} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := newPoolModel(1, n, 0, true)
			candidates, book := m.nodes[0].candidates, m.nodes[0].book
			for i := range candidates {
				candidates[i].Load, candidates[i].LoadAt = model.Load{Running: 1, Slots: 2}, epoch
				book.RecordResponse(epoch, candidates[i].Endpoint.Name, pace.Response{Elapsed: serviceTime, Load: model.Load{Contention: 1.2}})
			}
			b.ReportAllocs()
			for b.Loop() {
				for i := range candidates {
					candidates[i].Slowness = book.Estimate(epoch, candidates[i].Endpoint.Name).Slowness()
				}
				if kernel.PickTwoChoices(epoch, candidates, "domain-1", m.rng.Float64(), m.rng.Float64()) < 0 {
					b.Fatal("no choice")
				}
			}
		})
	}
}
