package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/endpoint"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

const (
	// pumpInterval is when a batcher at most looks again while pieces wait: a part of the time that
	// a piece waits for its own failure domain.
	pumpInterval = 30 * time.Millisecond
	// callTimeoutFactor is how many times its expected time a call for pieces may take before it is
	// given up and its pieces are asked for elsewhere, and callGrace what is added to that.
	callTimeoutFactor = 2.5
	callGrace         = 300 * time.Millisecond
	// queueReportMaxAge is how long a batcher's report on its queue counts; then it is asked again
	// before a request's stages begin.
	queueReportMaxAge = 120 * time.Millisecond
)

type (
	// queueReport is what a batcher reports of its queue: how long the pieces that it was asked for wait,
	// and which share of the pool's room is taken.
	queueReport struct {
		wait      time.Duration
		roomTaken float64
	}

	// batcher drives a kernel.BatchQueue.
	batcher struct {
		relay *Relay
		// name is that of the queue; its workers are the endpoints of a pool in a region.
		queueName string
		pool      string
		region    string

		mu      sync.Mutex
		traits  model.PieceTraits
		queue   *kernel.BatchQueue
		waiters map[uint64]chan kernel.GroupOutcome
		timer   *time.Timer
		// report is the newest of the pool's batcher, as of reportedAt.
		report     queueReport
		reportedAt time.Time
		// lastGroupAt is when the last group came.
		lastGroupAt time.Time
		// active is true while this node batches; current is the node that did so last, as far as
		// is known here. begins is held while it is found out who is to.
		active         bool
		currentBatcher string
		// begun counts how often this node began to batch.
		claims  int
		claimMu sync.Mutex
	}
)

// workers returns the endpoints that the queue's pieces go to.
func (g *batcher) workers(registry kernel.Registry) []model.Endpoint {
	if g.region == "" {
		return registry.Endpoints(g.pool)
	}
	return slices.DeleteFunc(slices.Clone(registry.Endpoints(g.pool)), func(e model.Endpoint) bool { return e.Region != g.region })
}

// updateRateCaps tells the queue what its workers say of the calls that they take.
func (g *batcher) updateRateCaps() {
	g.mu.Lock()
	for _, worker := range g.workers(g.relay.Registry()) {
		g.queue.SetRateCap(worker.Incarnation(), g.relay.rateCaps.PartialView(worker.Incarnation()).Cap)
	}
	g.mu.Unlock()
	g.startCalls()
}

// peers returns those of several nodes that may batch for the queue: the ones in its region.
func (g *batcher) eligiblePeers(nodes []kernel.Peer) []kernel.Peer {
	if g.region == "" {
		return nodes
	}
	regions := g.relay.options.Regions
	return slices.DeleteFunc(slices.Clone(nodes), func(n kernel.Peer) bool { return regions[n.Domain] != g.region })
}

// queued tells whether pieces wait there.
func (q queueReport) queued() bool {
	return kernel.PoolEstimate{Wait: q.wait}.Queued()
}

// recentReport returns the newest report of the pool's batcher, if that came lately.
func (g *batcher) recentReport() (queueReport, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.report, g.relay.now().Sub(g.reportedAt) < queueReportMaxAge
}

func (g *batcher) recordReport(q queueReport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.report = q
	g.reportedAt = g.relay.now()
}

// reportFor returns the report to who asks for a group.
func (g *batcher) reportFor(group kernel.PieceGroup) queueReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reportForLocked(group)
}

func (g *batcher) reportForLocked(group kernel.PieceGroup) queueReport {
	now := g.relay.now()
	return queueReport{wait: g.queue.EstimateWait(now, group), roomTaken: g.queue.RoomTaken(now)}
}

// batch takes a group of this or another node in and waits for its end.
func (g *batcher) runGroup(ctx context.Context, group kernel.PieceGroup, passedOver []string) batchResult {
	if elsewhere := g.placeGroup(ctx, passedOver); elsewhere != "" {
		return batchResult{moved: true, movedTo: elsewhere}
	}
	now := g.relay.now()
	if kernel.AnyStale(group.Inputs, g.relay.Registry().Superseded) {
		return batchResult{outcome: kernel.GroupOutcome{Group: group.ID, Fault: model.PieceInputGone}}
	}
	done := make(chan kernel.GroupOutcome, 1)
	g.mu.Lock()
	report := g.reportForLocked(group)
	accepted, retry := g.queue.Add(now, group)
	if accepted {
		g.waiters[group.ID] = done
	}
	g.mu.Unlock()
	if !accepted {
		g.relay.metrics.Event("PiecesRefused")
		return batchResult{refused: true, retryAfter: retry, report: report}
	}
	g.startCalls()
	select {
	case outcome := <-done:
		if outcome.Fault == model.PieceMoved {
			return batchResult{moved: true, movedTo: g.knownBatcher(nil)}
		}
		return batchResult{outcome: outcome, report: report}
	case <-ctx.Done():
	}
	g.cancel(group.ID)
	select {
	case outcome := <-done:
		// It ended at the same moment: what was made is of no use.
		g.freeResults(outcome.Made)
	default:
	}
	return batchResult{outcome: kernel.GroupOutcome{Fault: model.PieceLate}, report: report}
}

func (g *batcher) cancel(id uint64) {
	g.mu.Lock()
	made := g.queue.Cancel(id)
	delete(g.waiters, id)
	g.mu.Unlock()
	g.freeResults(made)
}

// pump makes all calls that can be made now.
func (g *batcher) startCalls() {
	if g.relay.ctx.Err() != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for {
		batch, ok := g.queue.Next(g.relay.now())
		if !ok {
			break
		}
		go g.runCall(batch, g.queue.Expected(batch), g.queue.OverdueAfter(batch))
		time.AfterFunc(batch.FetchTime(), g.freeFetchedInputs)
	}
	if pieces, _ := g.queue.Pending(); pieces > 0 {
		g.timer.Reset(min(pumpInterval, max(time.Millisecond, g.queue.Spacing()/2)))
	}
}

func (g *batcher) runCall(batch kernel.PieceBatch, expected, overdueAfter time.Duration) {
	r := g.relay
	defer r.recoverPanic(func() {
		g.mu.Lock()
		ended := g.queue.Failed(r.now(), batch)
		g.mu.Unlock()
		g.deliverOutcomes(ended)
		g.startCalls()
	})
	timeout := time.Duration(callTimeoutFactor*float64(expected)) + callGrace
	ctx, cancel := context.WithTimeout(r.ctx, timeout)
	defer cancel()
	ctx, over := r.trackCall(ctx, batch.Endpoint, batch.Digests()...)
	defer over()
	overdue := time.AfterFunc(overdueAfter, func() { g.handleOverdue(batch) })
	defer overdue.Stop()
	reply, err := r.runPieces(ctx, batch.Endpoint, batch.Pieces)
	crashed := g.checkCrash(batch, err)
	now := r.now()
	var ended []kernel.GroupOutcome
	var unwanted []kernel.ResultRef
	g.mu.Lock()
	switch {
	case err != nil && asFault(err).Kind == endpoint.Refused:
		ended = g.queue.Unreachable(now, batch)
	case crashed:
		ended = g.queue.Crashed(now, batch)
	case err != nil:
		ended = g.queue.Failed(now, batch)
	case reply.NotRun:
		ended = g.queue.Refused(now, batch)
	default:
		ended, unwanted = g.queue.Done(now, batch, reply.Results)
	}
	g.mu.Unlock()
	g.logCall(batch, reply, err)
	g.deliverOutcomes(ended)
	g.freeResults(unwanted)
	g.startCalls()
}

// crashed tells whether the worker's process ended in the middle of a call, and has that looked into where the
// connection broke.
func (g *batcher) checkCrash(batch kernel.PieceBatch, err error) bool {
	var fault *endpoint.Fault
	if !errors.As(err, &fault) || fault.Kind != endpoint.Cut || fault.Verdict == model.NotRun {
		return false
	}
	g.relay.recordDisconnect(batch.Endpoint, batch.Digests()...)
	return g.relay.quarantine.HasCrashed(batch.Endpoint)
}

// overdue has the pieces of a call that takes too long made elsewhere, too.
func (g *batcher) handleOverdue(batch kernel.PieceBatch) {
	r := g.relay
	g.mu.Lock()
	again := g.queue.RequeueOverdue(r.now(), batch)
	g.mu.Unlock()
	r.metrics.Event("PieceCallOverdue")
	r.log.Info().Str("Pool", g.queueName).Str("Endpoint", batch.Endpoint.Name).Int("Pieces", len(batch.Pieces)).
		Str("Request", batch.Pieces[0].Request).Int("Again", again).Msg("call for pieces overdue")
	g.startCalls()
}

func (g *batcher) logCall(batch kernel.PieceBatch, reply PieceReply, err error) {
	r := g.relay
	r.metrics.Event("PieceCalls")
	faults := map[model.PieceFault]int{}
	for _, res := range reply.Results {
		if res.Fault != "" {
			faults[res.Fault]++
			r.metrics.Event("PieceFault" + string(res.Fault))
		}
	}
	if len(faults) > 0 {
		g.mu.Lock()
		used, calls := g.queue.Usage(batch.Endpoint.Incarnation())
		g.mu.Unlock()
		r.log.Info().Str("Pool", g.queueName).Str("Endpoint", batch.Endpoint.Name).Int("Pieces", len(batch.Pieces)).
			Str("Request", batch.Pieces[0].Request).Any("Faults", faults).Int64("RoomUsed", used).Int("Calls", calls).
			Msg("pieces not made")
	}
	switch {
	case err != nil:
		r.metrics.Event("PieceCallFailed")
		r.log.Info().Str("Pool", g.queueName).Str("Endpoint", batch.Endpoint.Name).Int("Pieces", len(batch.Pieces)).
			Str("Request", batch.Pieces[0].Request).Err(err).Msg("call for pieces failed")
	case reply.NotRun:
		r.metrics.Event("PieceCallRefused")
		r.log.Info().Str("Pool", g.queueName).Str("Endpoint", batch.Endpoint.Name).Int("Pieces", len(batch.Pieces)).
			Str("Request", batch.Pieces[0].Request).Msg("call for pieces refused")
	}
}

// finish hands the outcomes of groups to those who wait for them.
func (g *batcher) deliverOutcomes(ended []kernel.GroupOutcome) {
	for _, o := range ended {
		g.mu.Lock()
		waiting := g.waiters[o.Group]
		delete(g.waiters, o.Group)
		g.mu.Unlock()
		if waiting != nil {
			waiting <- o
		} else {
			g.freeResults(o.Made)
		}
	}
}

func (g *batcher) expireGroups() {
	now := g.relay.now()
	g.mu.Lock()
	ended := g.queue.Expire(now)
	g.mu.Unlock()
	for _, o := range ended {
		if o.Fault == model.PieceStarved {
			g.relay.metrics.Event("PiecesStarved")
		}
	}
	g.deliverOutcomes(ended)
}
