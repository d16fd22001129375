package relay

import (
	"context"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/ending"
	"basilstall.example/basilstall/endpoint"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/leaving"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/peer"
	"basilstall.example/basilstall/standby"
)

const (
	// offerTimeout bounds the question to another node whether it sends a request: many round trips between hosts.
	offerTimeout = 300 * time.Millisecond
	// relayChunkBytes is the maximum size of the parts in which bodies pass between nodes.
	relayChunkBytes = 32 << 10
)

var (
	errRelayBroken = errors.New("relay: the answer of another node broke off")
	// errNodeDeclined is the cause if another node does not send the request, which has not run.
	errNodeDeclined = errors.New("relay: another node does not send the request")
)

type (
	// nodeReply is the answer to a request that another node has sent.
	nodeReply struct {
		node  string
		reply *model.ForwardReply
		// attempts is the number of endpoints that the request had been sent to when the head of the answer was received, as far as
		// it is known.
		attempts int
		err      error
	}

	// relayedBody is the body of an answer that another node passes on.
	relayedBody struct {
		stream *peer.Stream
		rest   []byte
		// ended is set at the end of the answer, and then err is io.EOF if it is whole, or why it may not be. tellsEnd is true if
		// the node tells whether the endpoint has stated the end.
		ended    bool
		err      error
		tellsEnd bool
		// attempts is the number of endpoints that the request was sent to after the head of the answer, or 0 if the node told of
		// none: it goes on with a stream at a further endpoint.
		attempts int
		watch    *nodeWatch
	}
)

// attemptsMade returns the number of endpoints that the request was sent to, as far as it is known. The body of the answer is
// not being read any more.
func (n nodeReply) attemptsMade() int {
	if n.reply == nil {
		return n.attempts
	}
	return max(n.attempts, n.reply.Body.(*relayedBody).attempts)
}

// sendThroughNode has another node send the request to an endpoint, because this one does not reach the pool: each request
// crosses from node to node once at most. Nodes are asked one after the other until one takes the request.
func (j *job) sendThroughNode(ctx context.Context, lastEventID string) nodeReply {
	r := j.relay
	asked := slices.Clone(j.excludedNodes)
	refusal := kernel.RefuseUnreachable(j.admission.Pool)
	for range kernel.MaxHelpersAsked {
		node := r.helpers.Pick(r.now(), j.admission.Pool, r.refusalSenders(j.admission.Pool, j.possibleHelpers(asked)))
		if node == "" || ctx.Err() != nil {
			break
		}
		asked = append(asked, node)
		result := j.sendThrough(ctx, node, lastEventID)
		var declined *model.Refusal
		switch {
		case errors.As(result.err, &declined) && kernel.OtherHelperMayServe(declined):
			refusal = declined
		case !errors.Is(result.err, errNodeDeclined):
			return result
		}
		r.helpers.RecordDeclined(r.now(), node, j.admission.Pool)
	}
	r.metrics.CountEvent("NoNodeSends")
	return nodeReply{attempts: j.attempts, err: refusal}
}

// sendThrough asks one node to send the request, and sends it there if the node agrees.
func (j *job) sendThrough(ctx context.Context, node, lastEventID string) nodeReply {
	r := j.relay
	stream, load, err := j.offer(ctx, node)
	if err != nil {
		return nodeReply{err: err}
	}
	j.watch.watch(node, stream)
	end := r.helpers.RecordAccepted(r.now(), node, j.admission.Pool, load)
	stop := context.AfterFunc(ctx, stream.Close)
	reply, attempts, err := j.exchangeThrough(ctx, stream, lastEventID)
	if err != nil {
		end()
		stop()
		stream.Close()
		return nodeReply{node: node, attempts: attempts, err: err}
	}
	body := reply.Body.(*relayedBody)
	reply.Close = func() {
		end()
		if stop() && body.ended {
			stream.Release()
			return
		}
		stream.Close()
	}
	return nodeReply{node: node, reply: reply, attempts: attempts}
}

// offer asks a node to send the request. It returns the stream on which the request is expected, and the load of the node.
func (j *job) offer(ctx context.Context, node string) (*peer.Stream, float64, error) {
	r := j.relay
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	for {
		stream, err := r.peers.OpenStream(ctx, r.addressOf(node))
		if err != nil {
			if ctx.Err() == nil {
				r.Suspect(node, err)
			}
			return nil, 0, errors.Wrap(errNodeDeclined, err.Error())
		}
		stop := context.AfterFunc(ctx, stream.Close)
		var reply peer.RelayReply
		if err = stream.Send(peer.KindRelay, peer.Relay{Pool: j.admission.Pool, Version: j.admission.Version, BodyBytes: int64(len(j.forward.Body))}); err == nil {
			err = stream.Receive(peer.KindRelay, &reply)
		}
		if !stop() || err != nil {
			stream.Close()
			if stream.Reused() && ctx.Err() == nil {
				// The peer may have closed the idle connection.
				continue
			}
			return nil, 0, errors.Wrap(errNodeDeclined, "no answer to the question")
		}
		if reply.Declined != "" {
			stream.Release()
			r.metrics.CountEvent("NodeDeclined" + string(reply.Declined))
			return nil, 0, errors.Wrap(errNodeDeclined, string(reply.Declined))
		}
		return stream, reply.Load, nil
	}
}

// exchangeThrough sends the request on a stream and receives the head of the answer. attempts is the number of endpoints
// that the request was sent to.
func (j *job) exchangeThrough(ctx context.Context, stream *peer.Stream, lastEventID string) (reply *model.ForwardReply, attempts int, err error) {
	attempts = j.attempts
	if refusal := j.recheck(); refusal != nil {
		return nil, attempts, refusal
	}
	j.watch.recordAsked()
	if err := j.writeRelayRequest(stream, lastEventID); err != nil {
		// The last part was not written, so the node has no whole request.
		return nil, attempts, errors.Wrap(errNodeDeclined, err.Error())
	}
	for {
		frame, err := stream.Next()
		if err != nil {
			return nil, max(attempts, j.attempts+1), j.relayFault(ctx, err)
		}
		switch frame.Kind {
		case peer.KindRelaySent:
			var sent peer.RelaySent
			if err := peer.DecodeBody(frame.Body, &sent); err != nil {
				return nil, attempts + 1, j.relayFault(ctx, err)
			}
			attempts = sent.Attempts
			j.watch.recordAttempts(attempts)
		case peer.KindRelayHead:
			reply, err := j.relayedReply(frame, stream)
			if err != nil {
				return nil, attempts, j.relayFault(ctx, err)
			}
			return reply, attempts, nil
		case peer.KindRelayEnd:
			var end peer.RelayEnd
			if err := peer.DecodeBody(frame.Body, &end); err != nil || end.Refusal == nil {
				return nil, max(attempts, j.attempts+1), j.relayFault(ctx, errRelayBroken)
			}
			if end.Refusal.Reason == model.CallerGone {
				// The node has stopped: the caller has left it, but not this one.
				return nil, max(end.Attempts, j.attempts+1), j.relayFault(ctx, errRelayBroken)
			}
			return nil, end.Attempts, end.Refusal
		default:
			return nil, attempts, j.relayFault(ctx, errRelayBroken)
		}
	}
}

// recheck returns a refusal if the request may not be sent any more.
func (j *job) recheck() *model.Refusal {
	if refusal := kernel.RecheckAdmission(j.relay.now(), j.relay.View(), j.relay.trust(), j.forward, j.admission); refusal != nil {
		return refusal
	}
	if j.attempts == 0 {
		if refusal := j.relay.admitWhileLeaving(j.admission, leaving.AtSend, nil); refusal != nil {
			return refusal
		}
		j.relay.requestTimes.RecordSent(j.relay.now(), j.admission.Route.Name, j.number)
	}
	if refusal := j.checkQuarantine(j.attempts > 0); refusal != nil {
		return refusal.WithVerdict(j.verdict())
	}
	return nil
}

// relayedReply returns the answer whose head another node has sent.
func (j *job) relayedReply(frame peer.Frame, stream *peer.Stream) (*model.ForwardReply, error) {
	var head peer.RelayHead
	if err := peer.DecodeBody(frame.Body, &head); err != nil {
		return nil, err
	}
	if head.Binding != nil {
		j.bind(*head.Binding)
	}
	header := http.Header{}
	maps.Copy(header, head.Header)
	return &model.ForwardReply{
		Status: head.Status, Header: header, Body: &relayedBody{stream: stream, tellsEnd: head.Framing != "", watch: j.watch}, Length: contentLength(header),
		Authentic: true, Framing: head.Framing,
	}, nil
}

// contentLength returns the length that a header states, or 0 if it states none.
func contentLength(h http.Header) int64 {
	n, err := strconv.ParseInt(h.Get("Content-Length"), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// relayFault returns the fault of a request that was sent to another node and got no answer.
func (j *job) relayFault(ctx context.Context, err error) error {
	fault := &endpoint.Fault{Kind: endpoint.Cut, Verdict: model.MayHaveRun, Err: err}
	if ctx.Err() != nil {
		fault.Kind = endpoint.Cancelled
	}
	return fault
}

// writeRelayRequest writes the request and its body to a stream.
func (j *job) writeRelayRequest(stream *peer.Stream, lastEventID string) error {
	now := j.relay.now()
	f := j.forward
	message := peer.RelayRequest{
		Node: j.relay.options.Name, ID: f.ID, Method: f.Method, URI: f.URI, Path: f.Path, Host: f.Host, Header: f.Header,
		Digest: f.Digest, Key: f.Key, Prompt: f.Prompt, Pieces: f.Pieces, PieceKey: f.PieceKey,
		ReceivedAgo: now.Sub(f.ReceivedAt), Waited: f.Waited, Route: j.admission.Route.Name, Customer: j.admission.Customer,
		Attempts: j.attempts, Excluded: j.reachedEndpoints(), MayHaveRun: j.mayHaveRun, Counted: j.counted, Trial: j.trial, LastEventID: lastEventID,
		StreamKey: j.streamKey, TakesUnstated: true,
	}
	if j.admission.Bound {
		message.Binding = &j.admission.Binding
	}
	if stopsAt := j.relay.stopsAt.Load(); stopsAt != nil {
		message.StopsIn = max(time.Millisecond, stopsAt.Sub(now))
	}
	if !f.Deadline.IsZero() {
		message.Left = max(time.Millisecond, f.Deadline.Sub(now))
	}
	if err := stream.Send(peer.KindRelayRequest, message); err != nil {
		return err
	}
	return writeRelayData(stream, f.Body)
}

// reachedEndpoints returns the incarnations of the endpoints that may have got the request. Those that this node could not
// connect to may get it from another one.
func (j *job) reachedEndpoints() []string {
	return slices.DeleteFunc(slices.Clone(j.excluded), func(incarnation string) bool { return slices.Contains(j.unreached, incarnation) })
}

func writeRelayData(stream *peer.Stream, data []byte) error {
	for part := range slices.Chunk(data, relayChunkBytes) {
		if err := stream.Send(peer.KindRelayData, peer.RelayData{Data: part}); err != nil {
			return err
		}
	}
	return nil
}

// Read implements io.Reader. It returns io.EOF only at the end of a whole answer, and ending.ErrUnstated at one that was not
// stated.
func (b *relayedBody) Read(p []byte) (int, error) {
	for len(b.rest) == 0 {
		if b.ended {
			return 0, b.err
		}
		frame, err := b.stream.Next()
		if err != nil {
			// Readers take io.EOF for the end of the answer, but this is that of the connection.
			return 0, errors.Wrap(errRelayBroken, err.Error())
		}
		switch frame.Kind {
		case peer.KindRelayData:
			var data peer.RelayData
			if err := peer.DecodeBody(frame.Body, &data); err != nil {
				return 0, err
			}
			b.rest = data.Data
		case peer.KindRelayEnd:
			var end peer.RelayEnd
			if err := peer.DecodeBody(frame.Body, &end); err != nil {
				return 0, err
			}
			b.ended, b.err, b.attempts = true, b.endError(end), max(b.attempts, end.Attempts)
			b.watch.recordAttempts(end.Attempts)
		case peer.KindRelaySent:
			var sent peer.RelaySent
			if err := peer.DecodeBody(frame.Body, &sent); err != nil {
				return 0, err
			}
			b.attempts = max(b.attempts, sent.Attempts)
			b.watch.recordAttempts(sent.Attempts)
		default:
			return 0, errRelayBroken
		}
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// endError returns the error of reads after the end of the answer.
func (b *relayedBody) endError(end peer.RelayEnd) error {
	switch {
	case end.Complete && b.tellsEnd && !end.Unstated:
		return io.EOF
	case end.Complete, end.Unstated:
		return ending.ErrUnstated
	default:
		return errRelayBroken
	}
}

// startNodeAttempt has another node send the request, whose result goes to results. It returns false if this node got the
// request from another one.
func (j *job) startNodeAttempt(ctx context.Context, results chan<- unaryResult) bool {
	if j.forNode != "" {
		return false
	}
	j.atNode = true
	attempt := j.snapshot()
	attempt.watch = newNodeWatch(j.attempts, j.nodeSilent)
	j.watch = attempt.watch
	go func() {
		res := unaryResult{throughNode: true, attempts: attempt.attempts}
		defer attempt.relay.recoverPanic(func() {
			res.err = errPanic
			results <- res
		})
		sent := attempt.sendThroughNode(ctx, "")
		res.node, res.attempts, res.reply, res.err = sent.node, sent.attempts, sent.reply, sent.err
		if res.err == nil {
			res.body, res.ending, res.err = attempt.readAnswer(ctx, res.reply, model.Endpoint{})
			res.attempts = sent.attemptsMade()
		}
		results <- res
	}()
	return true
}

// startBesideNode has a further node send a safe request while the one that has it is silent. It returns the number of attempts that
// it started, 0 or 1.
func (j *job) startBesideNode(ctx context.Context, p *pool, results chan<- unaryResult) int {
	silent := j.watch.taker()
	j.attempts = max(j.attempts, j.watch.attemptsAssumed())
	request := standby.Request{
		Repeatable: j.admission.Route.Kind == model.Safe, MayHaveRun: true, Trial: j.trial, Attempts: j.attempts, MaxAttempts: j.admission.Route.MaxAttempts,
	}
	if !j.watch.silent.Load() || request.Barred() != "" {
		return 0
	}
	j.excludedNodes = append(j.excludedNodes, silent)
	if !j.takeRetry(p, nil) || !j.startAttempt(ctx, p, results) {
		return 0
	}
	j.relay.metrics.CountRetry(model.RetrySilent, p.name)
	return 1
}

// snapshot returns a copy that does not change with the job.
func (j *job) snapshot() *job {
	out := *j
	out.excluded = slices.Clone(j.excluded)
	out.unreached = slices.Clone(j.unreached)
	out.excludedNodes = slices.Clone(j.excludedNodes)
	return &out
}

// acceptNodeResult reports whether the result of another node is an answer for the caller. The node has judged the
// endpoint's answer.
func (j *job) acceptNodeResult(res *unaryResult) bool {
	j.atNode = false
	j.recordNodeResult(res.node, res.attempts, res.err)
	return res.err == nil
}

// recordNodeResult records how an attempt through another node ended.
func (j *job) recordNodeResult(node string, attempts int, err error) {
	j.throughNode = node
	j.attempts = max(j.attempts, attempts)
	var refusal *model.Refusal
	if errors.As(err, &refusal) {
		j.mayHaveRun = j.mayHaveRun || refusal.Verdict != model.NotRun
		return
	}
	j.mayHaveRun = true
	j.counted = true
	if err == nil || asFault(err).Kind == endpoint.Cancelled {
		return
	}
	j.excludedNodes = append(j.excludedNodes, node)
	j.relay.metrics.CountEvent("NodeLostRequest")
	j.relay.log.Info().Str("Request", j.forward.ID).Str("Digest", string(j.forward.Digest)).Str("Pool", j.admission.Pool).
		Str("Through", node).Int("Attempt", j.attempts).Err(err).Msg("the node that sent the request did not answer")
}

// startStreamAtNode begins one attempt at a stream through another node. It returns false if this node got the request from
// another one. The results of stages that were run here are freed: the other node runs them anew.
func (j *job) startStreamAtNode(ctx context.Context, state *streamState, run *stageRun) bool {
	if j.forNode != "" {
		return false
	}
	if len(state.running) == 0 {
		run.releaseAll()
	}
	j.throughNodeOnly = true
	lastEventID := ""
	if state.headerSent {
		lastEventID = state.lastID
	}
	attempt := j.snapshot()
	attempt.watch = newNodeWatch(j.attempts, state.nodeSilent)
	a := &streamAttempt{node: attempt.watch}
	j.runStreamAttempt(ctx, state, a, func(ctx context.Context) attemptEnd {
		return attempt.exchangeStreamAtNode(ctx, state, a, lastEventID)
	})
	return true
}

// exchangeStreamAtNode has another node send the request and passes on the events of the answer until it ends.
func (j *job) exchangeStreamAtNode(ctx context.Context, state *streamState, a *streamAttempt, lastEventID string) attemptEnd {
	sent := j.sendThroughNode(ctx, lastEventID)
	j.watch.recordAttempts(sent.attempts)
	if sent.err != nil {
		return attemptEnd{err: sent.err}
	}
	defer sent.reply.Close()
	a.answered, a.framing = true, sent.reply.Framing
	if j.admission.Bound {
		a.binding = &j.admission.Binding
	}
	if sent.reply.Status == http.StatusOK {
		return j.readEvents(sent.reply, state, a, lastEventID)
	}
	body, judgement, err := j.readBody(ctx, sent.reply, model.Endpoint{})
	return attemptEnd{err: err, reply: sent.reply, failure: true, final: true, body: body, judgement: judgement}
}

// recordDroppedNode records that nothing more is wanted of a node that was to send the request. overtaken is true if the request goes
// on elsewhere, as the node was silent.
func (j *job) recordDroppedNode(w *nodeWatch, overtaken bool) {
	j.throughNode = w.taker()
	j.attempts = max(j.attempts, w.attemptsMade())
	if overtaken && j.throughNode != "" {
		j.excludedNodes = append(j.excludedNodes, j.throughNode)
		j.relay.metrics.CountEvent("NodeOvertaken")
	}
}
