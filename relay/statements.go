package relay

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/endpoint"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

var errEndlessRefusal = &endpoint.Fault{Kind: endpoint.Mismatch, Verdict: model.NotRun, Err: errors.New("relay: the endpoint's refusal did not end")}

// forward sends a request to an endpoint, once.
func (r *Relay) forward(ctx context.Context, send Send) (*model.ForwardReply, error) {
	var reply *model.ForwardReply
	sentAt := r.now()
	err := r.callEndpoint(send.Endpoint, func() (stated model.Statement, err error) {
		reply, err = r.deps.Forward(ctx, send)
		if err != nil {
			return model.Statement{}, err
		}
		return reply.Statement, nil
	})
	if err == nil && !reply.Misdirected {
		r.pool(send.Endpoint.Pool).recordAcceptance(r.now(), send.Endpoint.Incarnation(), !reply.NotRun || reply.InputsGone)
	}
	if err == nil && reply.Endless {
		r.recordMismatch(r.pool(send.Endpoint.Pool), send.Endpoint, sentAt, errEndlessRefusal)
	}
	return reply, err
}

// runPieces makes one call for pieces.
func (r *Relay) runPieces(ctx context.Context, e model.Endpoint, pieces []model.Piece) (PieceReply, error) {
	var reply PieceReply
	err := r.callEndpoint(e, func() (stated model.Statement, err error) {
		reply, err = r.deps.RunPieces(ctx, r.newCall(e), pieces)
		return reply.Statement, err
	})
	return reply, err
}

// freeResultsAt makes one call that frees results.
func (r *Relay) freeResultsAt(ctx context.Context, e model.Endpoint, made []kernel.ResultRef) error {
	return r.callEndpoint(e, func() (model.Statement, error) {
		return r.deps.FreeResults(ctx, r.newCall(e), resultHandles(made))
	})
}

// freeRoom makes one call that asks for the free room of an endpoint.
func (r *Relay) freeRoom(ctx context.Context, e model.Endpoint) (free int64, err error) {
	err = r.callEndpoint(e, func() (stated model.Statement, err error) {
		free, stated, err = r.deps.FreeRoom(ctx, r.newCall(e))
		return stated, err
	})
	return free, err
}

// newCall returns a call that is withdrawn if the endpoint may get no work any more when its connection is open.
func (r *Relay) newCall(e model.Endpoint) Call {
	return Call{Endpoint: e, BeforeSend: func() error {
		if !r.Registry().Accepts(r.now(), e) {
			return &endpoint.Fault{Kind: endpoint.Withdrawn, Verdict: model.NotRun, Err: errWithdrawn}
		}
		return nil
	}}
}

// callEndpoint makes one call to an endpoint and records what the endpoint states of itself in its answer. All calls to
// endpoints pass through it.
func (r *Relay) callEndpoint(e model.Endpoint, call func() (model.Statement, error)) error {
	sentAt := r.now()
	standing := r.Registry().Standing(e.Incarnation())
	r.rateCaps.RecordSend(e)
	stated, err := call()
	if err == nil || asFault(err).Verdict != model.NotRun {
		r.countUnwanted(sentAt, standing)
	}
	r.recordStatement(sentAt, e, stated)
	return err
}

// countUnwanted counts calls to endpoints that had stated that they want none.
func (r *Relay) countUnwanted(sentAt time.Time, standing kernel.Standing) {
	if standing.Leaving() {
		r.metrics.CountEvent("SentToLeavingEndpoint")
	}
	if standing.Paused(sentAt) {
		r.metrics.CountEvent("SentDuringPause")
	}
}

// recordStatement records what an endpoint states of itself in the answer to a call that was sent at sentAt.
func (r *Relay) recordStatement(sentAt time.Time, e model.Endpoint, stated model.Statement) {
	if stated.RateCap.Stated || stated.Whole {
		r.rateCaps.RecordAnswer(sentAt, e, stated.RateCap)
	}
	if stated.RefusalCap.Stated || stated.Whole {
		r.refusalCaps.RecordAnswer(sentAt, e, stated.RefusalCap)
	}
	r.contention.record(r.now(), e.Pool, stated)
	if stated.InvalidContention != "" {
		r.metrics.CountEvent("InvalidContention")
		r.invalidLog.Warn().Str("Endpoint", e.Incarnation()).Str("Pool", e.Pool).Str("Contention", stated.InvalidContention).
			Msg("endpoint states an invalid contention; the rest of its load holds")
	}
	now := r.now()
	if _, changes := r.Registry().WithStatement(sentAt, now, e, stated); !changes {
		return
	}
	r.registryMu.Lock()
	before := r.Registry()
	registry, _ := before.WithStatement(sentAt, now, e, stated)
	r.registry.Store(&registry)
	r.batchers.setPoolEndpoints(e.Pool, registry)
	r.registryMu.Unlock()
	r.logStanding(now, e, before.Standing(e.Incarnation()), registry.Standing(e.Incarnation()))
}

// logStanding logs what an endpoint has newly stated of itself.
func (r *Relay) logStanding(now time.Time, e model.Endpoint, before, after kernel.Standing) {
	line := r.log.Info().Str("Endpoint", e.Incarnation()).Str("Pool", e.Pool).Dur("RegistryAge", r.Registry().Age(now))
	if after.Leaving() && !before.Leaving() {
		r.metrics.CountEvent("EndpointStatedLeaving")
		line.Msg("endpoint states that it is leaving")
		return
	}
	if after.PausedUntil.After(before.PausedUntil) {
		r.metrics.CountEvent("EndpointPaused")
		line.Dur("Pause", after.PausedUntil.Sub(now)).Bool("Before", before.Paused(now)).Msg("endpoint asks for a pause")
	}
}
