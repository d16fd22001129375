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
func (b *batcher) workers(registry kernel.Registry) []model.Endpoint {
	if b.region == "" {
		return registry.Endpoints(b.pool)
	}
	return slices.DeleteFunc(slices.Clone(registry.Endpoints(b.pool)), func(e model.Endpoint) bool { return e.Region != b.region })
}

// updateRateCaps tells the queue what its workers say of the calls that they take.
func (b *batcher) updateRateCaps() {
	b.mu.Lock()
	for _, worker := range b.workers(b.relay.Registry()) {
		b.queue.SetRateCap(worker.Incarnation(), b.relay.rateCaps.PartialView(worker.Incarnation()).Cap)
	}
	b.mu.Unlock()
	b.startCalls()
}

// peers returns those of several nodes that may batch for the queue: the ones in its region.
func (b *batcher) eligiblePeers(nodes []kernel.Peer) []kernel.Peer {
	if b.region == "" {
		return nodes
	}
	regions := b.relay.options.Regions
	return slices.DeleteFunc(slices.Clone(nodes), func(n kernel.Peer) bool { return regions[n.Domain] != b.region })
}

// queued tells whether pieces wait there.
func (q queueReport) queued() bool {
	return kernel.PoolEstimate{Wait: q.wait}.Queued()
}

// recentReport returns the newest report of the pool's batcher, if that came lately.
func (b *batcher) recentReport() (queueReport, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.report, b.relay.now().Sub(b.reportedAt) < queueReportMaxAge
}

func (b *batcher) recordReport(q queueReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.report = q
	b.reportedAt = b.relay.now()
}

// reportFor returns the report to who asks for a group.
func (b *batcher) reportFor(group kernel.PieceGroup) queueReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reportForLocked(group)
}

func (b *batcher) reportForLocked(group kernel.PieceGroup) queueReport {
	now := b.relay.now()
	return queueReport{wait: b.queue.EstimateWait(now, group), roomTaken: b.queue.RoomTaken(now)}
}

// batch takes a group of this or another node in and waits for its end.
func (b *batcher) runGroup(ctx context.Context, group kernel.PieceGroup, excluded []string) batchResult {
	if elsewhere := b.placeGroup(ctx, excluded); elsewhere != "" {
		return batchResult{moved: true, movedTo: elsewhere}
	}
	now := b.relay.now()
	if kernel.AnyStale(group.Inputs, b.relay.Registry().Superseded) {
		return batchResult{outcome: kernel.GroupOutcome{Group: group.ID, Fault: model.PieceInputGone}}
	}
	done := make(chan kernel.GroupOutcome, 1)
	b.mu.Lock()
	report := b.reportForLocked(group)
	accepted, retry := b.queue.Add(now, group)
	if accepted {
		b.waiters[group.ID] = done
	}
	b.mu.Unlock()
	if !accepted {
		b.relay.metrics.Event("PiecesRefused")
		return batchResult{refused: true, retryAfter: retry, report: report}
	}
	b.startCalls()
	select {
	case outcome := <-done:
		if outcome.Fault == model.PieceMoved {
			return batchResult{moved: true, movedTo: b.knownBatcher(nil)}
		}
		return batchResult{outcome: outcome, report: report}
	case <-ctx.Done():
	}
	b.cancel(group.ID)
	select {
	case outcome := <-done:
		// It ended at the same moment: what was made is of no use.
		b.freeResults(outcome.Made)
	default:
	}
	return batchResult{outcome: kernel.GroupOutcome{Fault: model.PieceLate}, report: report}
}

func (b *batcher) cancel(id uint64) {
	b.mu.Lock()
	made := b.queue.Cancel(id)
	delete(b.waiters, id)
	b.mu.Unlock()
	b.freeResults(made)
}

// pump makes all calls that can be made now.
func (b *batcher) startCalls() {
	if b.relay.ctx.Err() != nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		batch, ok := b.queue.Next(b.relay.now())
		if !ok {
			break
		}
		go b.runCall(batch, b.queue.Expected(batch), b.queue.OverdueAfter(batch))
		time.AfterFunc(batch.FetchTime(), b.freeFetchedInputs)
	}
	if pieces, _ := b.queue.Pending(); pieces > 0 {
		b.timer.Reset(min(pumpInterval, max(time.Millisecond, b.queue.Spacing()/2)))
	}
}

func (b *batcher) runCall(batch kernel.PieceBatch, expected, overdueAfter time.Duration) {
	r := b.relay
	defer r.recoverPanic(func() {
		b.mu.Lock()
		ended := b.queue.Failed(r.now(), batch)
		b.mu.Unlock()
		b.deliverOutcomes(ended)
		b.startCalls()
	})
	timeout := time.Duration(callTimeoutFactor*float64(expected)) + callGrace
	ctx, cancel := context.WithTimeout(r.ctx, timeout)
	defer cancel()
	ctx, over := r.trackCall(ctx, batch.Endpoint, batch.Digests()...)
	defer over()
	overdue := time.AfterFunc(overdueAfter, func() { b.handleOverdue(batch) })
	defer overdue.Stop()
	reply, err := r.runPieces(ctx, batch.Endpoint, batch.Pieces)
	crashed := b.checkCrash(batch, err)
	now := r.now()
	var ended []kernel.GroupOutcome
	var unwanted []kernel.ResultRef
	b.mu.Lock()
	switch {
	case err != nil && asFault(err).Kind == endpoint.Refused:
		ended = b.queue.Unreachable(now, batch)
	case crashed:
		ended = b.queue.Crashed(now, batch)
	case err != nil:
		ended = b.queue.Failed(now, batch)
	case reply.NotRun:
		ended = b.queue.Refused(now, batch)
	default:
		ended, unwanted = b.queue.Done(now, batch, reply.Results)
	}
	b.mu.Unlock()
	b.logCall(batch, reply, err)
	b.deliverOutcomes(ended)
	b.freeResults(unwanted)
	b.startCalls()
}

// crashed tells whether the worker's process ended in the middle of a call, and has that looked into where the
// connection broke.
func (b *batcher) checkCrash(batch kernel.PieceBatch, err error) bool {
	var fault *endpoint.Fault
	if !errors.As(err, &fault) || fault.Kind != endpoint.Cut || fault.Verdict == model.NotRun {
		return false
	}
	b.relay.recordDisconnect(batch.Endpoint, batch.Digests()...)
	return b.relay.quarantine.HasCrashed(batch.Endpoint)
}

// overdue has the pieces of a call that takes too long made elsewhere, too.
func (b *batcher) handleOverdue(batch kernel.PieceBatch) {
	r := b.relay
	b.mu.Lock()
	again := b.queue.Overdue(r.now(), batch)
	b.mu.Unlock()
	r.metrics.Event("PieceCallOverdue")
	r.log.Info().Str("Pool", b.queueName).Str("Endpoint", batch.Endpoint.Name).Int("Pieces", len(batch.Pieces)).
		Str("Request", batch.Pieces[0].Request).Int("Again", again).Msg("call for pieces overdue")
	b.startCalls()
}

func (b *batcher) logCall(batch kernel.PieceBatch, reply PieceReply, err error) {
	r := b.relay
	r.metrics.Event("PieceCalls")
	faults := map[model.PieceFault]int{}
	for _, res := range reply.Results {
		if res.Fault != "" {
			faults[res.Fault]++
			r.metrics.Event("PieceFault" + string(res.Fault))
		}
	}
	if len(faults) > 0 {
		b.mu.Lock()
		used, calls := b.queue.Usage(batch.Endpoint.Incarnation())
		b.mu.Unlock()
		r.log.Info().Str("Pool", b.queueName).Str("Endpoint", batch.Endpoint.Name).Int("Pieces", len(batch.Pieces)).
			Str("Request", batch.Pieces[0].Request).Any("Faults", faults).Int64("RoomUsed", used).Int("Calls", calls).
			Msg("pieces not made")
	}
	switch {
	case err != nil:
		r.metrics.Event("PieceCallFailed")
		r.log.Info().Str("Pool", b.queueName).Str("Endpoint", batch.Endpoint.Name).Int("Pieces", len(batch.Pieces)).
			Str("Request", batch.Pieces[0].Request).Err(err).Msg("call for pieces failed")
	case reply.NotRun:
		r.metrics.Event("PieceCallRefused")
		r.log.Info().Str("Pool", b.queueName).Str("Endpoint", batch.Endpoint.Name).Int("Pieces", len(batch.Pieces)).
			Str("Request", batch.Pieces[0].Request).Msg("call for pieces refused")
	}
}

// finish hands the outcomes of groups to those who wait for them.
func (b *batcher) deliverOutcomes(ended []kernel.GroupOutcome) {
	for _, o := range ended {
		b.mu.Lock()
		waiting := b.waiters[o.Group]
		delete(b.waiters, o.Group)
		b.mu.Unlock()
		if waiting != nil {
			waiting <- o
		} else {
			b.freeResults(o.Made)
		}
	}
}

func (b *batcher) expireGroups() {
	now := b.relay.now()
	b.mu.Lock()
	ended := b.queue.Expire(now)
	b.mu.Unlock()
	for _, o := range ended {
		if o.Fault == model.PieceStarved {
			b.relay.metrics.Event("PiecesStarved")
		}
	}
	b.deliverOutcomes(ended)
}
