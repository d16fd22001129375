package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/clock"
	"basilstall.example/basilstall/endpoint"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

const (
	// startCallsInterval is the longest time until startCalls runs again while pieces wait: a fraction of the time that
	// a piece waits for an endpoint in its failure domain.
	startCallsInterval = 30 * time.Millisecond
	// A call for pieces may be given up after callTimeoutFactor times its expected duration plus callGrace; its pieces
	// are then requested from another endpoint.
	callTimeoutFactor = 2.5
	callGrace         = 300 * time.Millisecond
	// queueReportMaxAge is how long a batcher's queue report may be used; after that, the batcher is asked again
	// before the stages of a request begin.
	queueReportMaxAge = 120 * time.Millisecond
)

// errCallOverdue is the cause with which a call for pieces is given up.
var errCallOverdue = errors.New("relay: the call for pieces is overdue")

type (
	// queueReport is a batcher's report on its queue.
	queueReport struct {
		// wait is how long the pieces that the batcher was asked about would wait.
		wait time.Duration
		// roomTaken is the share of the workers' memory for results that is taken, from 0 to 1.
		roomTaken float64
		// shares is how the customer's share decides about the pieces that the batcher was asked about.
		shares kernel.ShareStanding
	}

	// batcher runs the calls of a kernel.BatchQueue while this node batches for the pool, and otherwise knows
	// which node does.
	batcher struct {
		relay     *Relay
		queueName string
		// The workers of the queue are the endpoints of pool in region, or in all regions if region is empty.
		pool   string
		region string

		mu     sync.Mutex
		traits model.PieceTraits
		queue  *kernel.BatchQueue
		// waiters has, by group ID, the channels on which the senders of groups wait for the outcome.
		waiters map[uint64]chan kernel.GroupOutcome
		// timer calls startCalls.
		timer *time.Timer
		// report is the newest report of the pool's batcher, received at reportedAt.
		report     queueReport
		reportedAt time.Time
		// lastGroupAt is when the last group arrived.
		lastGroupAt time.Time
		// active is true while this node batches.
		active bool
		// currentBatcher is the last node known to batch for the pool.
		currentBatcher string
		// claims counts how often this node began to batch.
		claims int
		// claimMu is held while the nodes decide which one batches.
		claimMu sync.Mutex
	}
)

// workers returns the endpoints that make the queue's pieces.
func (b *batcher) workers(registry kernel.Registry) []model.Endpoint {
	if b.region == "" {
		return registry.Endpoints(b.pool)
	}
	return slices.DeleteFunc(slices.Clone(registry.Endpoints(b.pool)), func(e model.Endpoint) bool { return e.Region != b.region })
}

// setEndpoints sets the workers of the queue.
func (b *batcher) setEndpoints(registry kernel.Registry) {
	b.mu.Lock()
	b.queue.SetEndpoints(b.workers(registry))
	b.mu.Unlock()
	b.updateRateCaps()
}

// updateRateCaps sets the rate caps of the workers in the queue.
func (b *batcher) updateRateCaps() {
	b.mu.Lock()
	for _, worker := range b.workers(b.relay.Registry()) {
		b.queue.SetRateCap(worker.Incarnation(), b.relay.rateCaps.FractionalView(worker.Incarnation()).Cap)
		b.queue.SetRefusalCap(worker.Incarnation(), b.relay.refusalCaps.FractionalView(worker.Incarnation()).Cap)
	}
	b.mu.Unlock()
	b.startCalls()
}

// eligiblePeers returns those of the nodes that may batch for the queue: the ones in its region.
func (b *batcher) eligiblePeers(nodes []kernel.Peer) []kernel.Peer {
	if b.region == "" {
		return nodes
	}
	regions := b.relay.options.Regions
	return slices.DeleteFunc(slices.Clone(nodes), func(n kernel.Peer) bool { return regions[n.Domain] != b.region })
}

// queued reports whether pieces wait in the queue.
func (q queueReport) queued() bool {
	return kernel.PoolEstimate{Wait: q.wait}.Queued()
}

// perRequest reports whether the wait of a request may differ from that in the report: pieces wait, or shares decide.
func (q queueReport) perRequest(req batchRequest) bool {
	return q.queued() || (req.shared && q.shares.Applies)
}

// recentReport returns the newest report of the pool's batcher, and whether it is recent enough to be used.
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

// reportFor returns the queue report for the sender of a group.
func (b *batcher) reportFor(group kernel.PieceGroup) queueReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reportForLocked(group)
}

func (b *batcher) reportForLocked(group kernel.PieceGroup) queueReport {
	now := b.relay.now()
	return queueReport{wait: b.queue.EstimateWait(now, group), roomTaken: b.queue.RoomTaken(now), shares: b.queue.ShareStanding(now, group)}
}

// runGroup adds a group of this or another node to the queue and waits for its outcome. If another node
// batches for the pool, it returns the name of that node instead.
func (b *batcher) runGroup(ctx context.Context, group kernel.PieceGroup, excluded []string) batchResult {
	if b.unreached() {
		return batchResult{unreached: true}
	}
	if movedTo := b.placeGroup(ctx, excluded); movedTo != "" {
		return batchResult{moved: true, movedTo: movedTo}
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
		b.relay.metrics.CountEvent("PiecesRefused")
		return batchResult{refused: true, retryAfter: retry, report: report}
	}
	b.startCalls()
	select {
	case outcome := <-done:
		if outcome.Fault == model.PieceMoved {
			if b.unreached() {
				return batchResult{unreached: true}
			}
			return batchResult{moved: true, movedTo: b.knownBatcher(nil)}
		}
		return batchResult{outcome: outcome, report: report}
	case <-ctx.Done():
	}
	b.cancel(group.ID)
	select {
	case outcome := <-done:
		// The group ended at the same moment: nobody needs its results.
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

// startCalls starts all calls that can be made now.
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
		b.timer.Reset(min(startCallsInterval, max(time.Millisecond, b.queue.Spacing(b.relay.now())/2)))
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
	ctx, cancel := context.WithCancelCause(r.ctx)
	defer cancel(nil)
	go b.giveUpWhenReplaced(ctx, batch, timeout, cancel)
	ctx, endCall := r.trackCall(ctx, batch.Endpoint, batch.RequestDigests()...)
	defer endCall()
	overdue := time.AfterFunc(overdueAfter, func() { b.handleOverdue(batch) })
	defer overdue.Stop()
	reply, err := r.runPieces(ctx, batch.Endpoint, batch.Pieces)
	crashed := b.checkCrash(batch, err)
	now := r.now()
	var ended []kernel.GroupOutcome
	var unwanted []kernel.ResultRef
	b.mu.Lock()
	switch {
	case reply.NotRun, err != nil && asFault(err).Kind == endpoint.Withdrawn:
		ended = b.queue.Refused(now, batch)
	case err != nil && asFault(err).Kind == endpoint.Refused:
		ended = b.queue.Unreachable(now, batch)
	case crashed:
		ended = b.queue.Crashed(now, batch)
	case err != nil:
		ended = b.queue.Failed(now, batch)
	default:
		ended, unwanted = b.queue.Done(now, batch, reply.Results)
	}
	b.mu.Unlock()
	b.logCall(batch, reply, err)
	b.deliverOutcomes(ended)
	b.freeResults(unwanted)
	b.startCalls()
}

// giveUpWhenReplaced cancels a call that has no answer after its timeout, once its pieces don't depend on it.
func (b *batcher) giveUpWhenReplaced(ctx context.Context, batch kernel.PieceBatch, timeout time.Duration, cancel context.CancelCauseFunc) {
	for clock.Sleep(ctx, timeout) {
		b.mu.Lock()
		replaced := b.queue.MayGiveUp(b.relay.now(), batch)
		b.mu.Unlock()
		if replaced {
			cancel(errCallOverdue)
			return
		}
		b.relay.metrics.CountEvent("PieceCallWaits")
	}
}

// checkCrash reports whether the worker's process ended during a call. If the connection broke, it has the
// quarantine check this.
func (b *batcher) checkCrash(batch kernel.PieceBatch, err error) bool {
	var fault *endpoint.Fault
	if !errors.As(err, &fault) || fault.Kind != endpoint.Cut || fault.Verdict == model.NotRun {
		return false
	}
	b.relay.recordDisconnect(batch.Endpoint, batch.RequestDigests()...)
	return b.relay.quarantine.HasCrashed(batch.Endpoint)
}

// handleOverdue has the pieces of a call that takes too long also made by other endpoints.
func (b *batcher) handleOverdue(batch kernel.PieceBatch) {
	r := b.relay
	b.mu.Lock()
	requeued := b.queue.RequeueOverdue(r.now(), batch)
	b.mu.Unlock()
	r.metrics.CountEvent("PieceCallOverdue")
	r.log.Info().Str("Pool", b.queueName).Str("Endpoint", batch.Endpoint.Name).Int("Pieces", len(batch.Pieces)).
		Str("Request", batch.Pieces[0].Request).Int("Again", requeued).Msg("call for pieces overdue")
	b.startCalls()
}

func (b *batcher) logCall(batch kernel.PieceBatch, reply PieceReply, err error) {
	r := b.relay
	r.metrics.CountEvent("PieceCalls")
	faults := map[model.PieceFault]int{}
	for _, res := range reply.Results {
		if res.Fault != "" {
			faults[res.Fault]++
			r.metrics.CountEvent("PieceFault" + string(res.Fault))
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
		r.metrics.CountEvent("PieceCallFailed")
		r.log.Info().Str("Pool", b.queueName).Str("Endpoint", batch.Endpoint.Name).Int("Pieces", len(batch.Pieces)).
			Str("Request", batch.Pieces[0].Request).Err(err).Msg("call for pieces failed")
	case reply.NotRun:
		r.metrics.CountEvent("PieceCallRefused")
		r.log.Info().Str("Pool", b.queueName).Str("Endpoint", batch.Endpoint.Name).Int("Pieces", len(batch.Pieces)).
			Str("Request", batch.Pieces[0].Request).Msg("call for pieces refused")
	}
}

// deliverOutcomes sends the outcomes of groups to their waiters. Results without a waiter are freed.
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
			b.relay.metrics.CountEvent("PiecesStarved")
		}
	}
	b.deliverOutcomes(ended)
}
