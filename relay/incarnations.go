package relay

import (
	"context"
	"sync"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// errStartedAgain ends calls to a process that has started again: nothing of them is left there, and
// waiting for their time-outs would cost streams that can go on elsewhere seconds.
var errStartedAgain = errors.New("relay: the endpoint has started again")

// incarnations holds the calls under way by the incarnation of the endpoint that they were made to.
type incarnations struct {
	mu sync.Mutex
	// calls has, for each call, the requests that it is for.
	calls map[string]map[*context.CancelCauseFunc][]model.Digest
}

func newIncarnations() *incarnations {
	return &incarnations{calls: map[string]map[*context.CancelCauseFunc][]model.Digest{}}
}

// begin returns a context for a call to an endpoint for some requests; it ends with the endpoint's incarnation. The
// function that it returns is to be called when the call is over.
func (r *Relay) begin(ctx context.Context, e model.Endpoint, digests ...model.Digest) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	l := r.incarnations
	incarnation := e.Incarnation()
	l.mu.Lock()
	if l.calls[incarnation] == nil {
		l.calls[incarnation] = map[*context.CancelCauseFunc][]model.Digest{}
	}
	l.calls[incarnation][&cancel] = digests
	l.mu.Unlock()
	if r.Registry().Superseded(incarnation) {
		cancel(errStartedAgain)
	}
	return ctx, func() {
		l.mu.Lock()
		delete(l.calls[incarnation], &cancel)
		if len(l.calls[incarnation]) == 0 {
			delete(l.calls, incarnation)
		}
		l.mu.Unlock()
		cancel(nil)
	}
}

// end ends the calls to an incarnation and returns how many there were, and for which requests.
func (l *incarnations) end(incarnation string) (calls int, digests []model.Digest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for cancel, of := range l.calls[incarnation] {
		(*cancel)(errStartedAgain)
		digests = append(digests, of...)
	}
	return len(l.calls[incarnation]), digests
}

// endFormerIncarnations ends what hangs on endpoints that have started again: calls under way, idle
// connections, and pieces whose inputs lay there.
func (r *Relay) endFormerIncarnations(changes []kernel.RegistryChange) {
	again := false
	for _, c := range changes {
		if c.Before.Name == "" {
			continue
		}
		again = true
		r.metrics.Event("EndpointStartedAgain")
		ended, digests := r.incarnations.end(c.Before.Incarnation())
		if len(digests) > 0 {
			r.brokeOff(c.Before, digests...)
		}
		r.wire.Retire(c.Before.Address)
		r.log.Info().Str("Endpoint", c.Before.Incarnation()).Int("Calls", ended).Msg("calls to a former incarnation ended")
	}
	if again {
		r.hub.endStale()
	}
}

// brokeOff has it looked into whether an endpoint that broke off was ended by what it worked on. What one that is
// leaving cuts was announced.
func (r *Relay) brokeOff(e model.Endpoint, digests ...model.Digest) {
	now, listed := r.Registry().Find(e.Name)
	if !listed || now.State == model.Leaving {
		return
	}
	r.quarantine.RecordDisconnect(e, digests...)
}
