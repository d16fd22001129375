package node

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/peer"
)

const (
	// maxOwnerAttempts bounds how often the node that received a request looks up the owner of its key.
	maxOwnerAttempts = 3
	// ownerRetryAfter is when a caller should retry if the owner of its key cannot run the request now.
	ownerRetryAfter = 500 * time.Millisecond
)

type (
	// keyLedger holds the ledger of the keys that this node arbitrates, and their running requests. It is safe for
	// concurrent use.
	keyLedger struct {
		mu     sync.Mutex
		ledger *kernel.Ledger
		// runs holds the running requests by key ID.
		runs map[string]*keyedRun
		// writers holds, by the ID of a durable key, the writer ID with which this process inserts the key: it tells
		// in the row of the table which process inserted it.
		writers map[string]string
		// handoverDone is set while the keys are handed over, and closed at the end. New requests wait for it.
		handoverDone chan struct{}
		// successor is the member that the keys were handed over to. Once it is set, no new request runs here. It is
		// the zero Member if no key could belong to this node.
		successor *kernel.Member
	}

	// keyedRun is a running keyed request.
	keyedRun struct {
		// done is closed at the end of the run, after answer or refusal was set.
		done    chan struct{}
		answer  model.Answer
		refusal *model.Refusal
	}

	// keyedRequest is a request with its parsed key and its pipeline.
	keyedRequest struct {
		model.Request
		key      kernel.Key
		pipeline model.Pipeline
	}
)

func newKeyLedger() *keyLedger {
	return &keyLedger{ledger: kernel.NewLedger(time.Time{}), runs: map[string]*keyedRun{}, writers: map[string]string{}}
}

func (k *keyLedger) expire(now time.Time, retention time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ledger.Expire(now, retention)
	for id := range k.writers {
		if _, known := k.ledger.Entry(id); !known {
			delete(k.writers, id)
		}
	}
}

// writer returns the writer ID under which this process inserts a durable key. Once the key has expired here, another
// ID is used, which differs from that in the row of the table: a key that may have run is never taken for a new one.
func (k *keyLedger) writer(id string) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.writers[id] == "" {
		k.writers[id] = uuid.NewString()
	}
	return k.writers[id]
}

func (k *keyLedger) len() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ledger.Len()
}

// serveKeyed serves a keyed request where its key is arbitrated: by the table for a durable key, else by the owner of
// the key. Only the arbiter of the key may answer NotRun, since other nodes do not know whether an attempt has run.
func (n *Node) serveKeyed(ctx context.Context, req keyedRequest) (model.Answer, *model.Refusal) {
	if req.key.Mode() == model.Durable {
		return n.serveDurable(ctx, req, false)
	}
	var refusal *model.Refusal
	for attempt := range maxOwnerAttempts {
		if attempt > 0 {
			_ = n.refreshClaims(ctx)
		}
		owner, noOwner := n.ownerOf(ctx, req.key)
		if noOwner != nil {
			return model.Answer{}, noOwner
		}
		var answer model.Answer
		if owner.ID() == n.member.ID() {
			answer, refusal = n.serveOwned(ctx, req)
		} else {
			answer, refusal = n.forward(ctx, owner, req)
		}
		if refusal == nil || !shouldRetryOwner(refusal) || ctx.Err() != nil {
			return answer, refusal
		}
		n.metrics.CountEvent("OwnerLookedUpAgain")
	}
	return model.Answer{}, refusal
}

// shouldRetryOwner reports whether reading the claims row again may yield another owner. It is harmless to send the
// request to the same owner twice, because the owner has recorded the key.
func shouldRetryOwner(r *model.Refusal) bool {
	return r.Reason == model.OwnerUnknown || r.Reason == model.OwnerUnreachable
}

// ownerOf returns the owner of a key. It reads the claims row again if the key was issued beyond the horizon that this
// node knows.
func (n *Node) ownerOf(ctx context.Context, key kernel.Key) (kernel.Member, *model.Refusal) {
	if n.claims.current().BeyondHorizon(key) {
		_ = n.refreshClaims(ctx)
	}
	row := n.claims.current()
	owner, ok := row.OwnerOf(key)
	switch {
	case ok:
		return owner, nil
	case row.BeyondHorizon(key):
		return owner, keyAheadRefusal(key, row.Horizon)
	default:
		return owner, model.NewRefusal(model.MayHaveRun, model.KeyTooOld, 0,
			"the key was issued longer ago than keys are remembered")
	}
}

// forward sends a request to the owner of its key, or to the member that inserts a durable key. If no reply arrives,
// this request or an earlier attempt with the same key may have run there, so the refusal is MayHaveRun.
func (n *Node) forward(ctx context.Context, owner kernel.Member, req keyedRequest) (model.Answer, *model.Refusal) {
	if !n.fleet.reachable(owner.ID()) {
		return model.Answer{}, ownerUnreachableRefusal("the key's owner has failed")
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	n.metrics.CountEvent("Forwarded")
	var reply peer.ForwardReply
	message := peer.Forward{Request: req.Request, Left: time.Until(req.Deadline)}
	if err := n.peers.Call(ctx, owner.Address, peer.KindForward, message, &reply); err != nil {
		return model.Answer{}, ownerUnreachableRefusal("the key's owner did not answer: " + err.Error())
	}
	if reply.Refusal != nil {
		return model.Answer{}, reply.Refusal
	}
	return reply.Answer, nil
}

func ownerUnreachableRefusal(detail string) *model.Refusal {
	return model.NewRefusal(model.MayHaveRun, model.OwnerUnreachable, ownerRetryAfter, detail)
}

// handleForward serves a request that another node forwarded. The message carries the time left until the deadline, so
// that the clocks of the two nodes need not agree.
func (n *Node) handleForward(ctx context.Context, body []byte) (any, error) {
	var message peer.Forward
	if err := peer.DecodeBody(body, &message); err != nil {
		return nil, err
	}
	message.Request.Deadline = time.Now().Add(message.Left)
	answer, refusal := n.serveForwarded(ctx, message.Request)
	return peer.ForwardReply{Answer: answer, Refusal: refusal}, nil
}

func (n *Node) serveForwarded(ctx context.Context, req model.Request) (model.Answer, *model.Refusal) {
	pipeline, ok := n.Settings().Pipeline(req.Team, req.Pipeline)
	if !ok {
		return model.Answer{}, model.NewRefusal(model.MayHaveRun, model.UnknownPipeline, ownerRetryAfter, "the owner does not know the pipeline yet")
	}
	key, err := kernel.ParseKey(req.Account(), req.Key)
	if err != nil {
		return model.Answer{}, model.NewRefusal(model.MayHaveRun, model.BadRequest, 0, err.Error())
	}
	keyed := keyedRequest{Request: req, key: key, pipeline: pipeline}
	if key.Mode() == model.Durable {
		return n.serveDurable(ctx, keyed, true)
	}
	return n.serveOwned(ctx, keyed)
}

// serveOwned serves a request whose key this node should own: it runs the request, waits for a running request with the
// same key, or returns the recorded outcome. After a handover it forwards the request to the successor.
func (n *Node) serveOwned(ctx context.Context, req keyedRequest) (model.Answer, *model.Refusal) {
	if successor, ok := n.keys.awaitHandover(ctx); !ok {
		return model.Answer{}, model.NewRefusal(model.MayHaveRun, model.Draining, ownerRetryAfter, "the key's owner is leaving")
	} else if successor != nil {
		return n.forward(ctx, *successor, req)
	}
	if !n.owns(req.key) {
		_ = n.refreshClaims(ctx)
	}
	if !n.owns(req.key) {
		return model.Answer{}, model.NewRefusal(model.MayHaveRun, model.OwnerUnknown, ownerRetryAfter, "the key belongs to another node")
	}
	if !n.mayRun(ctx, req.key) {
		return model.Answer{}, keyAheadRefusal(req.key, n.claims.bound())
	}
	run, answer, refusal := n.keys.admit(req, n.executeOwned)
	if run == nil {
		return answer, refusal
	}
	return run.wait(ctx, req.Deadline)
}

// mayRun reports whether the key was issued within the key time that this node may run. If not, it first reads the
// claims row again, or requests grants from the other members if the row cannot be read.
func (n *Node) mayRun(ctx context.Context, key kernel.Key) bool {
	if key.Issued.Before(n.claims.bound()) {
		return true
	}
	if n.refreshClaims(ctx) != nil {
		n.requestGrants(time.Now())
	}
	return key.Issued.Before(n.claims.bound())
}

// keyAheadRefusal returns the refusal of a key that was issued beyond the bound. Its verdict is not NotRun, which would
// not stay true: the bound moves forward, and a delayed attempt may then run.
func keyAheadRefusal(key kernel.Key, bound time.Time) *model.Refusal {
	return model.NewRefusal(model.MayHaveRun, model.KeyAhead, kernel.ClampRetryAfter(key.Issued.Sub(bound)),
		"the key's time of issue is ahead of the time that this fleet may serve now")
}

// owns reports whether a key belongs to this node according to the claims row as last read.
func (n *Node) owns(key kernel.Key) bool {
	owner, ok := n.claims.current().OwnerOf(key)
	return ok && owner.ID() == n.member.ID()
}

// awaitHandover waits while the keys are handed over. It returns the successor, or nil if the keys were not handed
// over, and false if ctx ended the wait.
func (k *keyLedger) awaitHandover(ctx context.Context) (*kernel.Member, bool) {
	k.mu.Lock()
	handoverDone, successor := k.handoverDone, k.successor
	k.mu.Unlock()
	if handoverDone == nil {
		return successor, true
	}
	select {
	case <-handoverDone:
		return k.awaitHandover(ctx)
	case <-ctx.Done():
		return nil, false
	}
}

// admit decides on a request with the ledger. It returns the run to wait for, or nil and the outcome. A new run is
// executed in a goroutine of its own by execute, which must call finish.
func (k *keyLedger) admit(req keyedRequest, execute func(keyedRequest, *keyedRun)) (*keyedRun, model.Answer, *model.Refusal) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.handoverDone != nil || k.successor != nil {
		return nil, model.Answer{}, model.NewRefusal(model.MayHaveRun, model.OwnerUnknown, ownerRetryAfter, "the key's owner is leaving")
	}
	decision := k.ledger.Admit(req.key, kernel.Fingerprint(req.Request), req.Attempt)
	switch decision.Action {
	case kernel.LedgerRun:
		run := &keyedRun{done: make(chan struct{})}
		k.runs[req.key.ID] = run
		go execute(req, run)
		return run, model.Answer{}, nil
	case kernel.LedgerJoin:
		return k.runs[req.key.ID], model.Answer{}, nil
	case kernel.LedgerAnswer:
		return nil, decision.Answer, nil
	default:
		return nil, model.Answer{}, decision.Refusal
	}
}

// executeOwned runs a keyed request to its end, even if no caller waits for it any more.
func (n *Node) executeOwned(req keyedRequest, r *keyedRun) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	began := time.Now()
	answer, p, refusal := n.runPipeline(n.ctx, req.Request, req.pipeline, nil)
	n.recordRequest(req.Request, began, answer, p, refusal, "")
	n.keys.finish(req.key, r, answer, refusal, p.nonIdempotentSent)
}

// finish records the outcome of a run and ends the waits for it. sent tells whether the service may have received the
// non-idempotent call.
func (k *keyLedger) finish(key kernel.Key, run *keyedRun, answer model.Answer, refusal *model.Refusal, sent bool) {
	k.mu.Lock()
	if refusal == nil {
		k.ledger.Finish(key, answer)
	} else {
		refusal = k.ledger.Refuse(key, refusal, sent)
	}
	delete(k.runs, key.ID)
	k.mu.Unlock()
	run.answer = answer
	run.refusal = refusal
	close(run.done)
}

// wait returns the outcome of the run, or a MayHaveRun refusal if the run has not ended by the deadline or the end of
// ctx.
func (r *keyedRun) wait(ctx context.Context, deadline time.Time) (model.Answer, *model.Refusal) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-r.done:
		return r.answer, r.refusal
	case <-timer.C:
	case <-ctx.Done():
	}
	select {
	case <-r.done:
		return r.answer, r.refusal
	default:
		return model.Answer{}, model.NewRefusal(model.MayHaveRun, model.StageTimeout, ownerRetryAfter, "still running at the deadline; ask again with the same key")
	}
}
