package relay

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/peer"
)

const (
	// batchReplyGrace is how long after the deadline of a group its sender still waits for the batcher's reply.
	batchReplyGrace = 200 * time.Millisecond
	// queueReportTimeout bounds the request for a batcher's queue report. Without a reply in time, the pieces
	// are assumed not to wait.
	queueReportTimeout = 40 * time.Millisecond
	// notifyTimeout bounds calls that inform another node, such as that results are no longer needed.
	notifyTimeout = time.Second
	// maxBatcherFailures is how many nodes may fail to answer before a group is refused: each one costs
	// peerSilenceTimeout. maxBatchersAsked bounds all nodes that a group is sent to: those that do not batch
	// reply within a round trip and name the node that does.
	maxBatcherFailures = 3
	maxBatchersAsked   = 12
)

type (
	// batchRequest asks for the pieces of one stage of one request. The fields are those of kernel.PieceGroup.
	batchRequest struct {
		// pool is the name of the queue.
		pool   string
		pieces []model.Piece
		// inputs are the results that each piece is made from. If freeInputs is set, nothing else needs them.
		inputs      []kernel.ResultRef
		freeInputs  bool
		resultBytes int64
		domain      string
		// localityWait is how long the pieces wait for an endpoint in domain.
		localityWait time.Duration
		rank         int
		// shared is true if the order by customers' shares applies to the request. waited is how long its caller has
		// waited since its first attempt.
		shared      bool
		customer    string
		waited      time.Duration
		firstSentAt time.Time
		due         time.Time
		until       time.Time
		// excluded names the nodes that did not answer, are leaving, or named another batcher.
		excluded []string
	}

	// batchResult is a batcher's reply.
	batchResult struct {
		outcome kernel.GroupOutcome
		refused bool
		// leaving is true if the node no longer batches because it is leaving.
		leaving bool
		// unreached is true if the node does not batch because it reaches no worker.
		unreached bool
		// moved is true if another node batches for the pool; movedTo is its name, if known.
		moved      bool
		movedTo    string
		retryAfter time.Duration
		report     queueReport
	}
)

// runGroup has the pieces of a group made by the pool's batcher: all nodes use the same one for a pool, so
// that the pieces of all requests can share calls. If a batcher does not answer, the next one is asked.
func (r *Relay) runGroup(ctx context.Context, req batchRequest) stageResult {
	b := r.batchers.find(req.pool)
	if b == nil {
		return stageResult{refusal: model.NewRefusal(model.NotRun, model.NoEndpoint, kernel.ClampRetryAfter(refusalRetryAfter), "the pool "+req.pool+" is not known")}
	}
	node := r.selectBatcher(b, nil)
	failed := 0
	unreached := false
	for range maxBatchersAsked {
		if node == "" || ctx.Err() != nil || failed >= maxBatcherFailures {
			break
		}
		result, err := r.callBatcher(ctx, node, b, req)
		if err == nil && !result.leaving && !result.unreached && !result.moved {
			b.setCurrentBatcher(node)
			b.recordReport(result.report)
			stage := result.stageResult(req)
			stage.timing.Batcher = node
			if stage.refusal == nil {
				r.metrics.ObserveWaitError(req.pool, stage.timing.Estimate, stage.timing.Waited)
			}
			return stage
		}
		unreached = unreached || result.unreached
		if err != nil || result.leaving || result.unreached || result.movedTo != "" {
			req.excluded = append(req.excluded, node)
		}
		switch {
		case err != nil:
			failed++
			r.recordBatcherFailure(node, req, err)
		case result.leaving:
			r.suspects.suspect(node)
		case result.unreached:
			r.metrics.CountEvent("BatcherReachesNoWorker")
		default:
			r.metrics.CountEvent("BatcherMoved")
		}
		switch {
		case err != nil:
			node = r.probeForBatcher(ctx, b, req.excluded)
		case result.movedTo != "":
			node = result.movedTo
		default:
			node = r.selectBatcher(b, req.excluded)
		}
	}
	if unreached {
		return stageResult{refusal: kernel.RefuseUnreachable(req.pool)}
	}
	return stageResult{refusal: model.NewRefusal(model.NotRun, model.StageLate, kernel.ClampRetryAfter(refusalRetryAfter), "no node batched the pieces of pool "+req.pool)}
}

// selectBatcher returns the node to ask for a pool's pieces: the last known batcher, or else the first node by
// hash. It is empty if all nodes are excluded.
func (r *Relay) selectBatcher(b *batcher, excluded []string) string {
	if known := b.knownBatcher(excluded); known != "" {
		return known
	}
	for _, node := range r.orders.Of(b.queueName, b.eligiblePeers(r.Reachable())) {
		if !slices.Contains(excluded, node) {
			return node
		}
	}
	// If all other nodes are leaving too, a leaving node batches for its own requests.
	if !slices.Contains(excluded, r.options.Name) {
		return r.options.Name
	}
	return ""
}

// stageResult converts a batcher's reply to the result of the stage.
func (result batchResult) stageResult(req batchRequest) stageResult {
	pool := req.pool
	if result.refused {
		refused := stageResult{refusal: model.NewRefusal(model.NotRun, model.StageLate, kernel.ClampRetryAfter(result.retryAfter), "pool "+pool+" has no time for the pieces")}
		refused.timing.Shares = result.report.shares
		return refused
	}
	stage := stageResult{results: result.outcome.Made}
	stage.timing.Shares = result.report.shares
	stage.inputsFreed = result.outcome.InputsFreed
	stage.timing.Waited = result.outcome.Waited
	stage.timing.Estimate = result.report.wait
	fault := result.outcome.Fault
	if fault == "" && len(stage.results) != len(req.pieces) {
		// An incomplete set of results must not be used as an input.
		fault = model.PieceFailed
	}
	if fault != "" {
		stage.timing.Fault = fault
		stage.refusal = model.NewRefusal(model.NotRun, model.StageLate, kernel.ClampRetryAfter(max(result.report.wait, result.outcome.Wait, refusalRetryAfter)),
			fmt.Sprintf("pool %s: pieces not made: %s", pool, fault))
	}
	return stage
}

// estimateWaits returns the estimates for the pieces of several stages, by stage. It asks batchers without a
// recent queue report, and those whose queue is not empty: how long pieces wait in it depends on the size of
// their results and on when they are due.
func (r *Relay) estimateWaits(ctx context.Context, stages []model.StageNode, requests map[int]batchRequest) []kernel.PoolEstimate {
	out := r.batchers.poolTraits(stages)
	ctx, cancel := context.WithTimeout(ctx, queueReportTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for i, req := range requests {
		b := r.batchers.find(req.pool)
		if b == nil {
			continue
		}
		if report, fresh := b.recentReport(); fresh && (!report.perRequest(req) || !r.options.Policy.Uses(kernel.WaitPerRequest)) {
			out[i].Wait, out[i].RoomTaken = report.wait, report.roomTaken
			continue
		}
		calls.Go(func() {
			report := r.requestQueueReport(ctx, b, req)
			out[i].Wait, out[i].RoomTaken, out[i].Shares = report.wait, report.roomTaken, report.shares
		})
	}
	calls.Wait()
	return out
}

// requestQueueReport asks the pool's batcher how long the pieces of a group would wait.
func (r *Relay) requestQueueReport(ctx context.Context, b *batcher, req batchRequest) queueReport {
	node := r.selectBatcher(b, nil)
	if node == r.options.Name {
		return b.reportFor(req.pieceGroup(0))
	}
	message := r.batchMessage(req)
	message.OnlyAsk = true
	var reply peer.BatchReply
	if r.peers.Call(ctx, r.addressOf(node), peer.KindBatch, message, &reply) != nil || reply.Leaving {
		r.metrics.CountEvent("QueueReportUnknown")
		return queueReport{}
	}
	if reply.Unreached {
		b.forgetBatcher(node)
		return queueReport{}
	}
	report := reportOf(reply)
	b.recordReport(report)
	return report
}

func (r *Relay) recordBatcherFailure(node string, req batchRequest, err error) {
	r.suspects.suspect(node)
	r.metrics.CountEvent("BatcherFailed")
	r.log.Info().Str("Request", req.pieces[0].Request).Str("Pool", req.pool).Str("Batcher", node).Err(err).Msg("batcher did not answer")
}

// pieceGroup returns the request as a group of the kernel.
func (req batchRequest) pieceGroup(id uint64) kernel.PieceGroup {
	return kernel.PieceGroup{
		ID:           id,
		Pieces:       req.pieces,
		Inputs:       req.inputs,
		FreeInputs:   req.freeInputs,
		ResultBytes:  req.resultBytes,
		Domain:       req.domain,
		LocalityWait: req.localityWait,
		Rank:         req.rank,
		Shared:       req.shared,
		Customer:     req.customer,
		Waited:       req.waited,
		FirstSentAt:  req.firstSentAt,
		Due:          req.due,
		Until:        req.until,
	}
}

func (r *Relay) addressOf(node string) string {
	for _, n := range *r.nodes.Load() {
		if n.Name == node {
			return n.Address
		}
	}
	return ""
}

// releaseResults frees results of one queue through its batcher, which tracks the room that they take.
func (r *Relay) releaseResults(made []kernel.ResultRef) {
	queue := r.batchers.queueNameOf(made[0])
	b := r.batchers.find(queue)
	if b == nil {
		return
	}
	node := r.selectBatcher(b, nil)
	if node == r.options.Name {
		b.freeResults(made)
		return
	}
	address := r.addressOf(node)
	go func() {
		ctx, cancel := context.WithTimeout(r.ctx, notifyTimeout)
		defer cancel()
		var empty peer.Empty
		if r.peers.Call(ctx, address, peer.KindRelease, peer.Release{Pool: queue, Made: made}, &empty) != nil {
			// The batcher was not reached: free the results at their workers from this node.
			r.metrics.CountEvent("ReleaseFailed")
			b.freeResults(made)
		}
	}()
}
