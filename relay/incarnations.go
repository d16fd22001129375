package relay

import (
	"context"
	"sync"
	"syscall"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/ending"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// errEndpointRestarted is the cause of cancelled calls to an endpoint that has restarted. The new process knows
// nothing of them, and waiting for their time-outs would delay the resumption of streams by seconds.
var errEndpointRestarted = errors.New("relay: the endpoint has started again")

// errEndpointEnded is the cause if an answer that ends with its connection is known to be broken off.
var errEndpointEnded = errors.New("relay: the endpoint's process ended with the connection")

// callTracker holds the calls in flight by the incarnation of their endpoint.
type callTracker struct {
	mu sync.Mutex
	// calls holds the requests of each call, by incarnation and by the call's cancel function.
	calls map[string]map[*context.CancelCauseFunc][]model.RequestDigests
}

func newCallTracker() *callTracker {
	return &callTracker{calls: map[string]map[*context.CancelCauseFunc][]model.RequestDigests{}}
}

// trackCall registers a call to an endpoint for some requests. The context that it returns is cancelled when the
// endpoint restarts. The returned function must be called when the call is over.
func (r *Relay) trackCall(ctx context.Context, e model.Endpoint, digests ...model.RequestDigests) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := r.activeCalls
	incarnation := e.Incarnation()
	t.mu.Lock()
	if t.calls[incarnation] == nil {
		t.calls[incarnation] = map[*context.CancelCauseFunc][]model.RequestDigests{}
	}
	t.calls[incarnation][&cancel] = digests
	t.mu.Unlock()
	if r.Registry().Superseded(incarnation) {
		cancel(errEndpointRestarted)
	}
	return ctx, func() {
		t.mu.Lock()
		delete(t.calls[incarnation], &cancel)
		if len(t.calls[incarnation]) == 0 {
			delete(t.calls, incarnation)
		}
		t.mu.Unlock()
		cancel(nil)
	}
}

// cancelCalls cancels the calls to an incarnation and returns their number and their requests.
func (t *callTracker) cancelCalls(incarnation string) (calls int, digests []model.RequestDigests) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for cancel, callDigests := range t.calls[incarnation] {
		(*cancel)(errEndpointRestarted)
		digests = append(digests, callDigests...)
	}
	return len(t.calls[incarnation]), digests
}

// cancelStaleCalls handles the endpoints that have restarted: it cancels their calls, closes their idle connections
// and ends the groups of pieces whose inputs they held.
func (r *Relay) cancelStaleCalls(changes []kernel.RegistryChange) {
	restarted := false
	for _, c := range changes {
		if c.Before.Name == "" {
			continue
		}
		restarted = true
		r.metrics.CountEvent("EndpointStartedAgain")
		ended, digests := r.activeCalls.cancelCalls(c.Before.Incarnation())
		if len(digests) > 0 {
			r.recordDisconnect(c.Before, digests...)
		}
		r.deps.CloseIdle(c.Before.Address)
		r.log.Info().Str("Endpoint", c.Before.Incarnation()).Int("Calls", ended).Msg("calls to a former incarnation ended")
	}
	if restarted {
		r.batchers.endStale()
	}
}

// recordDisconnect reports to the quarantine that the connection to an endpoint broke while it worked on requests,
// which may have crashed it. Endpoints that are leaving or no longer listed are not reported: they have announced
// that they close their connections.
func (r *Relay) recordDisconnect(e model.Endpoint, digests ...model.RequestDigests) {
	current, listed := r.Registry().Find(e.Name)
	if !listed || current.State == model.Leaving {
		return
	}
	r.quarantine.RecordDisconnect(e, digests...)
}

// judgeEnd returns what is known of the end of an answer whose read ended with err (see ending.JudgeRead). The endpoint is asked
// only where it has not stated the end; its name is empty if another node has passed the answer on.
func (r *Relay) judgeEnd(err error, withinEvent bool, reply *model.ForwardReply, e model.Endpoint) ending.Judgement {
	judgement := ending.JudgeRead(err, withinEvent)
	switch {
	case judgement.End != ending.Unstated || reply.NotRun:
		return judgement
	case e.Name == "":
		judgement.Evidence = ending.OtherNode
		return judgement
	}
	current, listed := r.Registry().Find(e.Name)
	state := ending.Endpoint{
		Announced:    !listed || current.State == model.Leaving,
		StartedAgain: listed && current.Incarnation() != e.Incarnation(),
	}
	if !state.Announced && !state.StartedAgain {
		ctx, cancel := context.WithTimeout(r.ctx, peerSilenceTimeout)
		defer cancel()
		state.NothingListens = errors.Is(r.deps.Connect(ctx, e.Address), syscall.ECONNREFUSED)
	}
	return ending.JudgeEndpoint(state)
}
