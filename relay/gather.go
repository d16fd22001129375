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
	// gatherPatience is how long beyond the time by which a group is due its sender waits for the
	// gatherer's answer before it turns to the next node.
	gatherPatience = 200 * time.Millisecond
	// outlookTimeout bounds the question for a gatherer's queue; without an answer in time the
	// request is taken as if there were none.
	outlookTimeout = 40 * time.Millisecond
	// releaseTimeout bounds the word to a gatherer that results are no longer needed.
	releaseTimeout = time.Second
	// gathererTries is how many nodes that do not answer a group is sent to: each costs the time after
	// which silence counts. mostAsked bounds all that are asked: those that do not gather say so
	// within a round trip, and name who does.
	gathererTries = 3
	mostAsked     = 12
)

type (
	// gatherRequest is the pieces of one stage of one request.
	gatherRequest struct {
		pool   string
		pieces []model.Piece
		// inputs are what each piece is made from; with freeInputs nothing else needs them.
		inputs     []kernel.MadePiece
		freeInputs bool
		bytes      int64
		domain     string
		// patience is how long the pieces wait for the domain.
		patience time.Duration
		rank     int
		due      time.Time
		until    time.Time
		// passedOver names the nodes that did not answer or gather no more.
		passedOver []string
	}

	// gatherResult is a gatherer's answer.
	gatherResult struct {
		outcome kernel.GroupOutcome
		refused bool
		// leaving tells that the node gathers no more because it leaves, moved that another one
		// gathers, which movedTo names where it is known.
		leaving    bool
		moved      bool
		movedTo    string
		retryAfter time.Duration
		told       told
	}
)

// gather has the pieces of a group made by the pool's gatherer: one node for each pool, the same
// for all nodes, so that pieces of all requests share calls. A gatherer that doesn't answer is
// passed over for the next one.
func (r *Relay) gather(ctx context.Context, req gatherRequest) stageDone {
	g := r.hub.find(req.pool)
	if g == nil {
		return stageDone{refusal: model.NewRefusal(model.NotRun, model.NoEndpoint, kernel.RetryAfter(refusedRetry), "the pool "+req.pool+" is not known")}
	}
	node := r.gathererOf(g, nil)
	failed := 0
	for range mostAsked {
		if node == "" || ctx.Err() != nil || failed >= gathererTries {
			break
		}
		result, err := r.askGatherer(ctx, node, g, req)
		if err == nil && !result.leaving && !result.moved {
			g.noteGatherer(node)
			g.note(result.told)
			done := result.done(req)
			done.time.Gatherer = node
			return done
		}
		if err != nil || result.leaving || result.movedTo != "" {
			req.passedOver = append(req.passedOver, node)
		}
		switch {
		case err != nil:
			failed++
			r.noteGatherer(node, req, err)
		case result.leaving:
			r.suspects.suspect(node)
		default:
			r.metrics.Event("GathererMoved")
		}
		switch {
		case err != nil:
			node = r.answeringGatherer(ctx, g, req.passedOver)
		case result.movedTo != "":
			node = result.movedTo
		default:
			node = r.gathererOf(g, req.passedOver)
		}
	}
	return stageDone{refusal: model.NewRefusal(model.NotRun, model.StageLate, kernel.RetryAfter(refusedRetry), "no node gathered the pieces of pool "+req.pool)}
}

// gathererOf returns the node to ask for a pool's pieces: the one that gathered last, else the first by
// hash; empty where all were passed over.
func (r *Relay) gathererOf(g *gatherer, passedOver []string) string {
	if known := g.knownGatherer(passedOver); known != "" {
		return known
	}
	for _, node := range kernel.Gatherers(g.name, r.Reachable()) {
		if !slices.Contains(passedOver, node) {
			return node
		}
	}
	// Where all others leave too, a node that is leaving gathers for its own requests.
	if !slices.Contains(passedOver, r.options.Name) {
		return r.options.Name
	}
	return ""
}

// done says what a gatherer's answer means for the stage.
func (result gatherResult) done(req gatherRequest) stageDone {
	pool := req.pool
	if result.refused {
		return stageDone{refusal: model.NewRefusal(model.NotRun, model.StageLate, kernel.RetryAfter(result.retryAfter), "pool "+pool+" has no time for the pieces")}
	}
	done := stageDone{made: result.outcome.Made}
	done.inputsFreed = result.outcome.InputsFreed
	done.time.Waited = result.outcome.Waited
	fault := result.outcome.Fault
	if fault == "" && len(done.made) != len(req.pieces) {
		// Only a whole set of results may become an input.
		fault = model.PieceFailed
	}
	if fault != "" {
		done.time.Fault = fault
		done.refusal = model.NewRefusal(model.NotRun, model.StageLate, kernel.RetryAfter(max(result.told.wait, refusedRetry)),
			fmt.Sprintf("pool %s: pieces not made: %s", pool, fault))
	}
	return done
}

// outlook returns how long the pieces of several stages would wait, by stage. Gatherers that have not
// told of their queues lately are asked, and those that have a queue: who waits how long in it depends
// on the size of the results and on when they are due.
func (r *Relay) outlook(ctx context.Context, stages []model.StageNode, groups map[int]gatherRequest) []kernel.PoolOutlook {
	out := r.hub.traitsOf(stages)
	ctx, cancel := context.WithTimeout(ctx, outlookTimeout)
	defer cancel()
	var asked sync.WaitGroup
	for i, req := range groups {
		g := r.hub.find(req.pool)
		if g == nil {
			continue
		}
		if last, fresh := g.lastTold(); fresh && (!last.queued() || !r.options.Policy.Uses(kernel.OwnWait)) {
			out[i].Wait = last.wait
			continue
		}
		asked.Go(func() { out[i].Wait = r.askWait(ctx, g, req) })
	}
	asked.Wait()
	return out
}

// askWait asks the pool's gatherer how long pieces wait.
func (r *Relay) askWait(ctx context.Context, g *gatherer, req gatherRequest) time.Duration {
	node := r.gathererOf(g, nil)
	if node == r.options.Name {
		return g.tell(req.group(0)).wait
	}
	message := r.gatherMessage(req)
	message.OnlyAsk = true
	var reply peer.GatherReply
	if r.peers.Call(ctx, r.addressOf(node), peer.KindGather, message, &reply) != nil || reply.Leaving {
		r.metrics.Event("OutlookUnknown")
		return 0
	}
	g.note(told{wait: reply.Wait, roomTaken: reply.RoomTaken})
	return reply.Wait
}

func (r *Relay) noteGatherer(node string, req gatherRequest, err error) {
	r.suspects.suspect(node)
	r.metrics.Event("GathererFailed")
	r.log.Info().Str("Request", req.pieces[0].Request).Str("Pool", req.pool).Str("Gatherer", node).Err(err).Msg("gatherer did not answer")
}

func (r *Relay) askGatherer(ctx context.Context, node string, g *gatherer, req gatherRequest) (gatherResult, error) {
	if node == r.options.Name {
		return g.gather(ctx, req.group(r.groups.Add(1)), req.passedOver), nil
	}
	address := r.addressOf(node)
	message := r.gatherMessage(req)
	callCtx, cancel := context.WithTimeout(ctx, max(gatherPatience, message.UntilIn+gatherPatience))
	defer cancel()
	var reply peer.GatherReply
	err := r.peers.Call(callCtx, address, peer.KindGather, message, &reply)
	if ctx.Err() != nil {
		r.cancelGroup(address, message)
		return gatherResult{outcome: kernel.GroupOutcome{Fault: model.PieceLate}}, nil
	}
	if err != nil {
		return gatherResult{}, err
	}
	return gatherResult{
		outcome:    reply.Outcome,
		refused:    reply.Refused,
		leaving:    reply.Leaving,
		moved:      reply.Moved,
		movedTo:    reply.MovedTo,
		retryAfter: reply.RetryAfter,
		told:       told{wait: reply.Wait, roomTaken: reply.RoomTaken},
	}, nil
}

// group returns the request as the kernel takes it.
func (req gatherRequest) group(id uint64) kernel.PieceGroup {
	return kernel.PieceGroup{
		ID:          id,
		Pieces:      req.pieces,
		Inputs:      req.inputs,
		FreeInputs:  req.freeInputs,
		ResultBytes: req.bytes,
		Domain:      req.domain,
		Patience:    req.patience,
		Rank:        req.rank,
		Due:         req.due,
		Until:       req.until,
	}
}

// gatherMessage returns the request as another node takes it.
func (r *Relay) gatherMessage(req gatherRequest) peer.Gather {
	now := r.now()
	first := req.pieces[0]
	message := peer.Gather{
		Pool:        req.pool,
		Group:       fmt.Sprintf("%s/%d", r.options.Name, r.groups.Add(1)),
		Request:     first.Request,
		Stage:       first.Stage,
		Key:         first.Key,
		Inputs:      req.inputs,
		FreeInputs:  req.freeInputs,
		ResultBytes: req.bytes,
		Domain:      req.domain,
		Patience:    req.patience,
		Rank:        req.rank,
		DueIn:       req.due.Sub(now),
		UntilIn:     req.until.Sub(now),
		PassedOver:  req.passedOver,
	}
	for _, p := range req.pieces {
		message.Numbers = append(message.Numbers, p.Number)
	}
	return message
}

// cancelGroup withdraws a group whose request was given up.
func (r *Relay) cancelGroup(address string, m peer.Gather) {
	go func() {
		ctx, cancel := context.WithTimeout(r.ctx, releaseTimeout)
		defer cancel()
		var empty peer.Empty
		if r.peers.Call(ctx, address, peer.KindGatherCancel, peer.GatherCancel{Pool: m.Pool, Group: m.Group}, &empty) != nil {
			r.metrics.Event("GatherCancelFailed")
		}
	}()
}

func (r *Relay) addressOf(node string) string {
	for _, n := range *r.nodes.Load() {
		if n.Name == node {
			return n.Address
		}
	}
	return ""
}

// release frees results by way of the pool's gatherer, which keeps account of the room.
func (r *Relay) release(pool string, made []kernel.MadePiece) {
	g := r.hub.find(pool)
	if g == nil {
		return
	}
	node := r.gathererOf(g, nil)
	if node == r.options.Name {
		g.free(made)
		return
	}
	address := r.addressOf(node)
	go func() {
		ctx, cancel := context.WithTimeout(r.ctx, releaseTimeout)
		defer cancel()
		var empty peer.Empty
		if r.peers.Call(ctx, address, peer.KindRelease, peer.Release{Pool: pool, Made: made}, &empty) != nil {
			// Without a gatherer to keep account, the makers are told from here.
			r.metrics.Event("ReleaseFailed")
			g.free(made)
		}
	}()
}

// Handlers answer other nodes' calls to this one's gatherers.
func (r *Relay) Handlers() map[peer.Kind]peer.Handler {
	return map[peer.Kind]peer.Handler{
		peer.KindGather:       r.answerGather,
		peer.KindGatherCancel: r.answerGatherCancel,
		peer.KindRelease:      r.answerRelease,
		peer.KindProbe:        r.answerProbe,
		peer.KindReturn:       r.answerReturn,
		peer.KindTakeOver:     r.answerTakeOver,
	}
}

func (r *Relay) answerGather(ctx context.Context, body []byte) (any, error) {
	var m peer.Gather
	if err := peer.DecodeBody(body, &m); err != nil {
		return nil, err
	}
	g := r.hub.find(m.Pool)
	if g == nil || r.Leaving() {
		return peer.GatherReply{Leaving: true}, nil
	}
	now := r.now()
	group := kernel.PieceGroup{
		ID:          r.groups.Add(1),
		Inputs:      m.Inputs,
		FreeInputs:  m.FreeInputs,
		ResultBytes: m.ResultBytes,
		Domain:      m.Domain,
		Patience:    m.Patience,
		Rank:        m.Rank,
		Due:         now.Add(m.DueIn),
		Until:       now.Add(m.UntilIn),
	}
	handles := handlesOf(m.Inputs)
	for _, n := range m.Numbers {
		group.Pieces = append(group.Pieces, model.Piece{
			Request: m.Request, Stage: m.Stage, Number: n, Key: m.Key, Inputs: handles, Deadline: group.Until,
		})
	}
	if m.OnlyAsk {
		tell := g.tell(group)
		return peer.GatherReply{Wait: tell.wait, RoomTaken: tell.roomTaken}, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.remote.add(m.Group, cancel)
	defer r.remote.remove(m.Group)
	result := g.gather(ctx, group, m.PassedOver)
	return peer.GatherReply{
		MovedTo:    result.movedTo,
		Moved:      result.moved,
		Outcome:    result.outcome,
		Refused:    result.refused,
		RetryAfter: result.retryAfter,
		Wait:       result.told.wait,
		RoomTaken:  result.told.roomTaken,
	}, nil
}

func (r *Relay) answerProbe(context.Context, []byte) (any, error) {
	return peer.ProbeReply{Leaving: r.Leaving()}, nil
}

// probe asks a node whether it gathers pieces.
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

func (r *Relay) answerGatherCancel(_ context.Context, body []byte) (any, error) {
	var m peer.GatherCancel
	if err := peer.DecodeBody(body, &m); err != nil {
		return nil, err
	}
	r.remote.cancel(m.Group)
	return peer.Empty{}, nil
}

func (r *Relay) answerRelease(ctx context.Context, body []byte) (any, error) {
	var m peer.Release
	if err := peer.DecodeBody(body, &m); err != nil {
		return nil, err
	}
	g := r.hub.find(m.Pool)
	if g == nil {
		return peer.Empty{}, nil
	}
	if next := g.knownGatherer(nil); next != "" && !m.SentOn {
		m.SentOn = true
		var empty peer.Empty
		if r.peers.Call(ctx, r.addressOf(next), peer.KindRelease, m, &empty) == nil {
			return peer.Empty{}, nil
		}
	}
	g.free(m.Made)
	return peer.Empty{}, nil
}
