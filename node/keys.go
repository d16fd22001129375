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
	// maxOwnerAttempts bounds how often an entry node looks for a key's owner.
	maxOwnerAttempts = 3
	// ownerRetryAfter is when to come back where the owner cannot be reached.
	ownerRetryAfter = 500 * time.Millisecond
)

type (
	// keyLedger is this node's part in keyed requests: the ledger and the requests in flight.
	keyLedger struct {
		mu     sync.Mutex
		ledger *kernel.Ledger
		// flights has one entry for each key that runs here.
		runs map[string]*keyedRun
		// writers holds, for durable keys, the number of the insert that this process made.
		writers map[string]string
		// handing is set while the keys are given away; arrivals wait until it is closed.
		handoverDone chan struct{}
		// heir is set once the keys were given away; nothing runs here after that.
		successor *kernel.Member
	}

	// flight is a keyed request on its way. Its outcome is set before done is closed.
	keyedRun struct {
		done    chan struct{}
		answer  model.Answer
		refusal *model.Refusal
	}

	// keyedRequest is a request with its parsed key.
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

// writer returns the number under which this process inserts a durable key. Once the key is
// forgotten here another number is used, which the row in the table does not carry: a key
// that may have run is never taken for a new one.
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

// serveKeyed takes a keyed request to whoever arbitrates its key. Only the owner says NotRun.
func (n *Node) serveKeyed(ctx context.Context, req keyedRequest) (model.Answer, *model.Refusal) {
	if req.key.Mode() == model.Durable {
		return n.serveDurable(ctx, req, false)
	}
	var refusal *model.Refusal
	for try := range maxOwnerAttempts {
		if try > 0 {
			_ = n.refreshClaims(ctx)
		}
		owner, missing := n.ownerOf(ctx, req.key)
		if missing != nil {
			return model.Answer{}, missing
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

// shouldRetryOwner tells whether another look at the claims row may find the right owner. Asking
// the same owner twice does no harm: it knows the key.
func shouldRetryOwner(r *model.Refusal) bool {
	return r.Reason == model.OwnerUnknown || r.Reason == model.OwnerUnreachable
}

// ownerOf returns the owner of a key, after another look at the row if the key's time is
// beyond the horizon that this node knows.
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

// forward asks the owner. Where no reply comes the request may have run there, or an earlier
// attempt with the same key may have.
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

// handleForward runs a request for another node.
func (n *Node) handleForward(ctx context.Context, body []byte) (any, error) {
	var f peer.Forward
	if err := peer.DecodeBody(body, &f); err != nil {
		return nil, err
	}
	f.Request.Deadline = time.Now().Add(f.Left)
	answer, refusal := n.serveForwarded(ctx, f.Request)
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

// serveOwned runs a request if this node owns its key, joins one in flight, or repeats what is
// remembered.
func (n *Node) serveOwned(ctx context.Context, req keyedRequest) (model.Answer, *model.Refusal) {
	if heir, ok := n.keys.awaitHandover(ctx); !ok {
		return model.Answer{}, model.NewRefusal(model.MayHaveRun, model.Draining, ownerRetryAfter, "the key's owner is leaving")
	} else if heir != nil {
		return n.forward(ctx, *heir, req)
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
	f, answer, refusal := n.keys.admit(req, n.executeOwned)
	if f == nil {
		return answer, refusal
	}
	return f.wait(ctx, req.Deadline)
}

// mayRun tells whether the key's time is within what this node may run, after another look at
// the row and at what the other members grant.
func (n *Node) mayRun(ctx context.Context, key kernel.Key) bool {
	if key.Issued.Before(n.claims.bound()) {
		return true
	}
	if n.refreshClaims(ctx) != nil {
		n.requestGrants(time.Now())
	}
	return key.Issued.Before(n.claims.bound())
}

// keyAheadRefusal refuses a key whose time is beyond a bound. NotRun would not stay true: the bound
// moves on, and a held-up attempt may run.
func keyAheadRefusal(key kernel.Key, bound time.Time) *model.Refusal {
	return model.NewRefusal(model.MayHaveRun, model.KeyAhead, kernel.ClampRetryAfter(key.Issued.Sub(bound)),
		"the key's time of issue is ahead of the time that this fleet may serve now")
}

func (n *Node) owns(key kernel.Key) bool {
	owner, ok := n.claims.current().OwnerOf(key)
	return ok && owner.ID() == n.member.ID()
}

// awaitHandover waits while the keys are being given away. It returns the heir once they
// were, and false where the wait was ended by ctx.
func (k *keyLedger) awaitHandover(ctx context.Context) (*kernel.Member, bool) {
	k.mu.Lock()
	handing, heir := k.handoverDone, k.successor
	k.mu.Unlock()
	if handing == nil {
		return heir, true
	}
	select {
	case <-handing:
		return k.awaitHandover(ctx)
	case <-ctx.Done():
		return nil, false
	}
}

// take lets the ledger decide. It returns a flight to wait for, or the outcome.
func (k *keyLedger) admit(req keyedRequest, launch func(keyedRequest, *keyedRun)) (*keyedRun, model.Answer, *model.Refusal) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.handoverDone != nil || k.successor != nil {
		return nil, model.Answer{}, model.NewRefusal(model.MayHaveRun, model.OwnerUnknown, ownerRetryAfter, "the key's owner is leaving")
	}
	decision := k.ledger.Admit(req.key, kernel.Fingerprint(req.Request), req.Attempt)
	switch decision.Action {
	case kernel.LedgerRun:
		f := &keyedRun{done: make(chan struct{})}
		k.runs[req.key.ID] = f
		go launch(req, f)
		return f, model.Answer{}, nil
	case kernel.LedgerJoin:
		return k.runs[req.key.ID], model.Answer{}, nil
	case kernel.LedgerAnswer:
		return nil, decision.Answer, nil
	default:
		return nil, model.Answer{}, decision.Refusal
	}
}

// launch runs a keyed request to its end, also when nobody waits any more.
func (n *Node) executeOwned(req keyedRequest, f *keyedRun) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	began := time.Now()
	answer, p, refusal := n.runPipeline(n.ctx, req.Request, req.pipeline, nil)
	n.recordRequest(req.Request, began, answer, p, refusal, "")
	n.keys.finish(req.key, f, answer, refusal, p.nonIdempotentSent)
}

// end records the outcome of a flight and wakes those that wait for it.
func (k *keyLedger) finish(key kernel.Key, f *keyedRun, answer model.Answer, refusal *model.Refusal, sent bool) {
	k.mu.Lock()
	if refusal == nil {
		k.ledger.Finish(key, answer)
	} else {
		refusal = k.ledger.Refuse(key, refusal, sent)
	}
	delete(k.runs, key.ID)
	k.mu.Unlock()
	f.answer = answer
	f.refusal = refusal
	close(f.done)
}

// wait returns the flight's outcome, or at the deadline that it is unknown.
func (f *keyedRun) wait(ctx context.Context, deadline time.Time) (model.Answer, *model.Refusal) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-f.done:
		return f.answer, f.refusal
	case <-timer.C:
	case <-ctx.Done():
	}
	select {
	case <-f.done:
		return f.answer, f.refusal
	default:
		return model.Answer{}, model.NewRefusal(model.MayHaveRun, model.StageTimeout, ownerRetryAfter, "still running at the deadline; ask again with the same key")
	}
}
