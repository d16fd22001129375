package relay

import (
	"context"
	"fmt"
	"maps"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/peer"
)

// callBatcher sends a group to a node, which may be this one, and waits for its outcome.
func (r *Relay) callBatcher(ctx context.Context, node string, b *batcher, req batchRequest) (batchResult, error) {
	if node == r.options.Name {
		return b.runGroup(ctx, req.pieceGroup(r.lastGroupID.Add(1)), req.excluded), nil
	}
	address := r.addressOf(node)
	message := r.batchMessage(req)
	callCtx, cancel := context.WithTimeout(ctx, max(batchReplyGrace, message.UntilIn+batchReplyGrace))
	defer cancel()
	var reply peer.BatchReply
	err := r.peers.Call(callCtx, address, peer.KindBatch, message, &reply)
	if ctx.Err() != nil || callCtx.Err() != nil {
		// Out of time. The batcher is not at fault: if it were silent, the call would have failed earlier.
		r.cancelGroup(address, message)
		return batchResult{outcome: kernel.GroupOutcome{Fault: model.PieceLate}}, nil
	}
	if err != nil {
		return batchResult{}, err
	}
	return batchResult{
		outcome:    reply.Outcome,
		refused:    reply.Refused,
		leaving:    reply.Leaving,
		unreached:  reply.Unreached,
		moved:      reply.Moved,
		movedTo:    reply.MovedTo,
		retryAfter: reply.RetryAfter,
		report:     reportOf(reply),
	}, nil
}

// batchMessage returns the message that sends the request to another node.
func (r *Relay) batchMessage(req batchRequest) peer.Batch {
	now := r.now()
	first := req.pieces[0]
	message := peer.Batch{
		Pool:         req.pool,
		Group:        fmt.Sprintf("%s/%d", r.options.Name, r.lastGroupID.Add(1)),
		Request:      first.Request,
		Digest:       first.Digest,
		Stage:        first.Stage,
		Key:          first.Key,
		Inputs:       req.inputs,
		FreeInputs:   req.freeInputs,
		ResultBytes:  req.resultBytes,
		Domain:       req.domain,
		LocalityWait: req.localityWait,
		Rank:         req.rank,
		Shared:       req.shared,
		Customer:     req.customer,
		Waited:       req.waited,
		AskedAgo:     now.Sub(req.firstSentAt),
		DueIn:        req.due.Sub(now),
		UntilIn:      req.until.Sub(now),
		PassedOver:   req.excluded,
	}
	for _, p := range req.pieces {
		message.Numbers = append(message.Numbers, p.Number)
	}
	return message
}

// reportOf returns the queue report in a batcher's reply.
func reportOf(reply peer.BatchReply) queueReport {
	report := queueReport{wait: reply.Wait, roomTaken: reply.RoomTaken}
	if reply.Shares != nil {
		report.shares = *reply.Shares
	}
	return report
}

// sharesMessage returns the shares in a queue report for a reply; nil if the queue is not ordered by shares.
func (q queueReport) sharesMessage() *kernel.ShareStanding {
	if !q.shares.Applies {
		return nil
	}
	return &q.shares
}

// cancelGroup cancels a group at another node after its request was abandoned.
func (r *Relay) cancelGroup(address string, m peer.Batch) {
	go func() {
		ctx, cancel := context.WithTimeout(r.ctx, notifyTimeout)
		defer cancel()
		var empty peer.Empty
		if r.peers.Call(ctx, address, peer.KindBatchCancel, peer.BatchCancel{Pool: m.Pool, Group: m.Group}, &empty) != nil {
			r.metrics.CountEvent("BatchCancelFailed")
		}
	}()
}

// Handlers returns the handlers of the messages that other nodes send to this one.
func (r *Relay) Handlers() map[peer.Kind]peer.Handler {
	handlers := map[peer.Kind]peer.Handler{
		peer.KindBatch:       r.handleBatch,
		peer.KindBatchCancel: r.handleBatchCancel,
		peer.KindRelease:     r.handleRelease,
		peer.KindProbe:       r.handleProbe,
		peer.KindCallerWait:  r.handleCallerWait,
		peer.KindTakeOver:    r.handleTakeOver,
		peer.KindCapPermit:   r.handleCapPermit,

		peer.KindPlace:        r.handlePlace,
		peer.KindPlaceReports: r.handlePlaceReports,
		peer.KindAdmit:        r.handleAdmit,
		peer.KindAdmitEnd:     r.handleAdmitEnd,
	}
	maps.Copy(handlers, r.quarantine.Handlers())
	maps.Copy(handlers, r.bindings.Handlers())
	return handlers
}

func (r *Relay) handleBatch(ctx context.Context, body []byte) (any, error) {
	var m peer.Batch
	if err := peer.DecodeBody(body, &m); err != nil {
		return nil, err
	}
	b := r.batchers.find(m.Pool)
	if b == nil || r.Leaving() {
		return peer.BatchReply{Leaving: true}, nil
	}
	held, ok := r.holdRelayed("", kernel.GroupBytes(len(m.Numbers), len(m.Inputs)))
	if !ok {
		r.metrics.CountEvent("BatchFull")
		return peer.BatchReply{Refused: true, RetryAfter: fullRetryAfter}, nil
	}
	defer held.End()
	now := r.now()
	group := kernel.PieceGroup{
		ID:           r.lastGroupID.Add(1),
		Inputs:       m.Inputs,
		FreeInputs:   m.FreeInputs,
		ResultBytes:  m.ResultBytes,
		Domain:       m.Domain,
		LocalityWait: m.LocalityWait,
		Rank:         m.Rank,
		Shared:       m.Shared,
		Customer:     m.Customer,
		Weight:       m.Weight,
		Waited:       m.Waited,
		FirstSentAt:  now.Add(-m.AskedAgo),
		Due:          now.Add(m.DueIn),
		Until:        now.Add(m.UntilIn),
	}
	handles := resultHandles(m.Inputs)
	for _, n := range m.Numbers {
		group.Pieces = append(group.Pieces, model.Piece{
			Request: m.Request, Digest: m.Digest, Stage: m.Stage, Number: n, Key: m.Key, Inputs: handles, Deadline: group.Until,
		})
	}
	if b.unreached() {
		return peer.BatchReply{Unreached: true}, nil
	}
	if m.OnlyAsk {
		report := b.reportFor(group)
		return peer.BatchReply{Wait: report.wait, RoomTaken: report.roomTaken, Shares: report.sharesMessage()}, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.remoteGroups.add(m.Group, cancel)
	defer r.remoteGroups.remove(m.Group)
	result := b.runGroup(ctx, group, m.PassedOver)
	return peer.BatchReply{
		Unreached:  result.unreached,
		MovedTo:    result.movedTo,
		Moved:      result.moved,
		Outcome:    result.outcome,
		Refused:    result.refused,
		RetryAfter: result.retryAfter,
		Wait:       result.report.wait,
		RoomTaken:  result.report.roomTaken,
		Shares:     result.report.sharesMessage(),
	}, nil
}

func (r *Relay) handleBatchCancel(_ context.Context, body []byte) (any, error) {
	var m peer.BatchCancel
	if err := peer.DecodeBody(body, &m); err != nil {
		return nil, err
	}
	r.remoteGroups.cancel(m.Group)
	return peer.Empty{}, nil
}

func (r *Relay) handleRelease(ctx context.Context, body []byte) (any, error) {
	var m peer.Release
	if err := peer.DecodeBody(body, &m); err != nil {
		return nil, err
	}
	b := r.batchers.find(m.Pool)
	if b == nil {
		return peer.Empty{}, nil
	}
	// If another node batches by now, the message is passed on to it, but only once.
	if known := b.knownBatcher(nil); known != "" && !m.SentOn {
		m.SentOn = true
		var empty peer.Empty
		if r.peers.Call(ctx, r.addressOf(known), peer.KindRelease, m, &empty) == nil {
			return peer.Empty{}, nil
		}
	}
	b.freeResults(m.Made)
	return peer.Empty{}, nil
}

func (r *Relay) handleProbe(context.Context, []byte) (any, error) {
	return peer.ProbeReply{Leaving: r.Leaving()}, nil
}

// probe reports whether a node answers and is not leaving.
func (r *Relay) probe(node string) bool {
	address := r.addressOf(node)
	if address == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(r.ctx, probeTimeout)
	defer cancel()
	var reply peer.ProbeReply
	err := r.peers.Call(ctx, address, peer.KindProbe, peer.Empty{}, &reply)
	return err == nil && !reply.Leaving
}
