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
	// batchReplyGrace is how long beyond the time by which a group is due its sender waits for the
	// batcher's answer before it turns to the next node.
	batchReplyGrace = 200 * time.Millisecond
	// queueReportTimeout bounds the question for a batcher's queue; without an answer in time the
	// request is taken as if there were none.
	queueReportTimeout = 40 * time.Millisecond
	// notifyTimeout bounds the word to a batcher that results are no longer needed.
	notifyTimeout = time.Second
	// maxBatcherFailures is how many nodes that do not answer a group is sent to: each costs the time after
	// which silence counts. maxBatchersAsked bounds all that are asked: those that do not batch say so
	// within a round trip, and name who does.
	maxBatcherFailures = 3
	maxBatchersAsked   = 12
)

type (
	// batchRequest is the pieces of one stage of one request.
	batchRequest struct {
		pool   string
		pieces []model.Piece
		// inputs are what each piece is made from; with freeInputs nothing else needs them.
		inputs      []kernel.ResultRef
		freeInputs  bool
		resultBytes int64
		domain      string
		// localityWait is how long the pieces wait for the domain.
		localityWait time.Duration
		rank         int
		askedAt      time.Time
		due          time.Time
		until        time.Time
		// excluded names the nodes that did not answer or batch no more.
		excluded []string
	}

	// batchResult is a batcher's answer.
	batchResult struct {
		outcome kernel.GroupOutcome
		refused bool
		// leaving tells that the node batches no more because it leaves, moved that another one
		// batches, which movedTo names where it is known.
		leaving    bool
		moved      bool
		movedTo    string
		retryAfter time.Duration
		report     queueReport
	}
)

// batch has the pieces of a group made by the pool's batcher: one node for each pool, the same
// for all nodes, so that pieces of all requests share calls. A batcher that doesn't answer is
// passed over for the next one.
func (r *Relay) runGroup(ctx context.Context, req batchRequest) stageResult {
	g := r.batchers.find(req.pool)
	if g == nil {
		return stageResult{refusal: model.NewRefusal(model.NotRun, model.NoEndpoint, kernel.ClampRetryAfter(refusalRetryAfter), "the pool "+req.pool+" is not known")}
	}
	node := r.selectBatcher(g, nil)
	failed := 0
	for range maxBatchersAsked {
		if node == "" || ctx.Err() != nil || failed >= maxBatcherFailures {
			break
		}
		result, err := r.callBatcher(ctx, node, g, req)
		if err == nil && !result.leaving && !result.moved {
			g.setCurrentBatcher(node)
			g.recordReport(result.report)
			done := result.stageResult(req)
			done.time.Batcher = node
			if done.refusal == nil {
				r.metrics.WaitEstimated(req.pool, done.time.Estimate, done.time.Waited)
			}
			return done
		}
		if err != nil || result.leaving || result.movedTo != "" {
			req.excluded = append(req.excluded, node)
		}
		switch {
		case err != nil:
			failed++
			r.recordBatcherFailure(node, req, err)
		case result.leaving:
			r.suspects.suspect(node)
		default:
			r.metrics.Event("BatcherMoved")
		}
		switch {
		case err != nil:
			node = r.probeForBatcher(ctx, g, req.excluded)
		case result.movedTo != "":
			node = result.movedTo
		default:
			node = r.selectBatcher(g, req.excluded)
		}
	}
	return stageResult{refusal: model.NewRefusal(model.NotRun, model.StageLate, kernel.ClampRetryAfter(refusalRetryAfter), "no node batched the pieces of pool "+req.pool)}
}

// selectBatcher returns the node to ask for a pool's pieces: the one that batched last, else the first by
// hash; empty where all were passed over.
func (r *Relay) selectBatcher(g *batcher, passedOver []string) string {
	if known := g.knownBatcher(passedOver); known != "" {
		return known
	}
	for _, node := range kernel.NodesByHash(g.queueName, g.eligiblePeers(r.Reachable())) {
		if !slices.Contains(passedOver, node) {
			return node
		}
	}
	// Where all others leave too, a node that is leaving batches for its own requests.
	if !slices.Contains(passedOver, r.options.Name) {
		return r.options.Name
	}
	return ""
}

// done says what a batcher's answer means for the stage.
func (result batchResult) stageResult(req batchRequest) stageResult {
	pool := req.pool
	if result.refused {
		return stageResult{refusal: model.NewRefusal(model.NotRun, model.StageLate, kernel.ClampRetryAfter(result.retryAfter), "pool "+pool+" has no time for the pieces")}
	}
	done := stageResult{results: result.outcome.Made}
	done.inputsFreed = result.outcome.InputsFreed
	done.time.Waited = result.outcome.Waited
	done.time.Estimate = result.report.wait
	fault := result.outcome.Fault
	if fault == "" && len(done.results) != len(req.pieces) {
		// Only a whole set of results may become an input.
		fault = model.PieceFailed
	}
	if fault != "" {
		done.time.Fault = fault
		done.refusal = model.NewRefusal(model.NotRun, model.StageLate, kernel.ClampRetryAfter(max(result.report.wait, result.outcome.Wait, refusalRetryAfter)),
			fmt.Sprintf("pool %s: pieces not made: %s", pool, fault))
	}
	return done
}

// estimates returns how long the pieces of several stages would wait, by stage. Batchers that have not
// reported on their queues lately are asked, and those that have a queue: who waits how long in it depends
// on the size of the results and on when they are due.
func (r *Relay) estimateWaits(ctx context.Context, stages []model.StageNode, groups map[int]batchRequest) []kernel.PoolEstimate {
	out := r.batchers.poolTraits(stages)
	ctx, cancel := context.WithTimeout(ctx, queueReportTimeout)
	defer cancel()
	var asked sync.WaitGroup
	for i, req := range groups {
		g := r.batchers.find(req.pool)
		if g == nil {
			continue
		}
		if last, fresh := g.recentReport(); fresh && (!last.queued() || !r.options.Policy.Uses(kernel.WaitPerRequest)) {
			out[i].Wait, out[i].RoomTaken = last.wait, last.roomTaken
			continue
		}
		asked.Go(func() {
			last := r.requestQueueReport(ctx, g, req)
			out[i].Wait, out[i].RoomTaken = last.wait, last.roomTaken
		})
	}
	asked.Wait()
	return out
}

// requestQueueReport asks the pool's batcher how long pieces wait.
func (r *Relay) requestQueueReport(ctx context.Context, g *batcher, req batchRequest) queueReport {
	node := r.selectBatcher(g, nil)
	if node == r.options.Name {
		return g.reportFor(req.pieceGroup(0))
	}
	message := r.batchMessage(req)
	message.OnlyAsk = true
	var reply peer.BatchReply
	if r.peers.Call(ctx, r.addressOf(node), peer.KindBatch, message, &reply) != nil || reply.Leaving {
		r.metrics.Event("QueueReportUnknown")
		return queueReport{}
	}
	last := queueReport{wait: reply.Wait, roomTaken: reply.RoomTaken}
	g.recordReport(last)
	return last
}

func (r *Relay) recordBatcherFailure(node string, req batchRequest, err error) {
	r.suspects.suspect(node)
	r.metrics.Event("BatcherFailed")
	r.log.Info().Str("Request", req.pieces[0].Request).Str("Pool", req.pool).Str("Batcher", node).Err(err).Msg("batcher did not answer")
}

// group returns the request as the kernel takes it.
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
		FirstSentAt:  req.askedAt,
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

// release frees results of one queue by way of its batcher, which keeps account of the room.
func (r *Relay) releaseResults(made []kernel.ResultRef) {
	queue := r.batchers.queueNameOf(made[0])
	g := r.batchers.find(queue)
	if g == nil {
		return
	}
	node := r.selectBatcher(g, nil)
	if node == r.options.Name {
		g.freeResults(made)
		return
	}
	address := r.addressOf(node)
	go func() {
		ctx, cancel := context.WithTimeout(r.ctx, notifyTimeout)
		defer cancel()
		var empty peer.Empty
		if r.peers.Call(ctx, address, peer.KindRelease, peer.Release{Pool: queue, Made: made}, &empty) != nil {
			// Without a batcher to keep account, the workers are told from here.
			r.metrics.Event("ReleaseFailed")
			g.freeResults(made)
		}
	}()
}
