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

// lives holds the calls under way by the life of the endpoint that they were made to.
type lives struct {
	mu sync.Mutex
	// calls has, for each call, the requests that it is for.
	calls map[string]map[*context.CancelCauseFunc][]model.Digest
}

func newLives() *lives {
	return &lives{calls: map[string]map[*context.CancelCauseFunc][]model.Digest{}}
}

// begin returns a context for a call to an endpoint for some requests; it ends with the endpoint's life. The
// function that it returns is to be called when the call is over.
func (r *Relay) begin(ctx context.Context, e model.Endpoint, digests ...model.Digest) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	l := r.lives
	life := e.Life()
	l.mu.Lock()
	if l.calls[life] == nil {
		l.calls[life] = map[*context.CancelCauseFunc][]model.Digest{}
	}
	l.calls[life][&cancel] = digests
	l.mu.Unlock()
	if r.Roster().Superseded(life) {
		cancel(errStartedAgain)
	}
	return ctx, func() {
		l.mu.Lock()
		delete(l.calls[life], &cancel)
		if len(l.calls[life]) == 0 {
			delete(l.calls, life)
		}
		l.mu.Unlock()
		cancel(nil)
	}
}

// end ends the calls to a life and returns how many there were, and for which requests.
func (l *lives) end(life string) (calls int, digests []model.Digest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for cancel, of := range l.calls[life] {
		(*cancel)(errStartedAgain)
		digests = append(digests, of...)
	}
	return len(l.calls[life]), digests
}

// endFormerLives ends what hangs on endpoints that have started again: calls under way, idle
// connections, and pieces whose inputs lay there.
func (r *Relay) endFormerLives(changes []kernel.RosterChange) {
	again := false
	for _, c := range changes {
		if c.Before.Name == "" {
			continue
		}
		again = true
		r.metrics.Event("EndpointStartedAgain")
		ended, digests := r.lives.end(c.Before.Life())
		if len(digests) > 0 {
			r.brokeOff(c.Before, digests...)
		}
		r.wire.Retire(c.Before.Address)
		r.log.Info().Str("Endpoint", c.Before.Life()).Int("Calls", ended).Msg("calls to a former life ended")
	}
	if again {
		r.hub.endStale()
	}
}

// brokeOff has it looked into whether an endpoint that broke off was ended by what it worked on. What one that is
// leaving cuts was announced.
func (r *Relay) brokeOff(e model.Endpoint, digests ...model.Digest) {
	now, listed := r.Roster().Find(e.Name)
	if !listed || now.State == model.Leaving {
		return
	}
	r.quarantine.BrokeOff(e, digests...)
}
