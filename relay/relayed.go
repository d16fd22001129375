package relay

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/ending"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/leaving"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/peer"
)

var errRelayedBody = errors.New("relay: the body of a relayed request is not as announced")

// StreamHandlers returns the handlers of the streams that other nodes open to this one.
func (r *Relay) StreamHandlers() map[peer.Kind]peer.StreamHandler {
	return map[peer.Kind]peer.StreamHandler{peer.KindRelay: r.handleRelay}
}

// handleRelay sends a request to an endpoint for another node that does not reach the pool. This node decides on the
// endpoints as for its own requests; the other node keeps the caller.
func (r *Relay) handleRelay(ctx context.Context, body []byte, stream *peer.Stream) error {
	var offer peer.Relay
	if err := peer.DecodeBody(body, &offer); err != nil {
		return err
	}
	declined := kernel.DeclineRelay(kernel.HelperState{
		Leaving: r.Leaving(), PathLost: r.paths.Lost(offer.Pool), HasEndpoint: r.hasEndpoint(offer.Pool), Routing: r.View(),
		HeldBytes: r.relayedBytes.Load(),
	}, kernel.RelayOffer{Version: offer.Version, BodyBytes: offer.BodyBytes})
	count, ok := r.holdRelayed(declined, offer.BodyBytes)
	if declined == "" && !ok {
		declined = model.Overloaded
	}
	defer count.End()
	load := float64(r.InFlight()) / max(r.options.Capacity, 1)
	if err := stream.Send(peer.KindRelay, peer.RelayReply{Declined: declined, Load: load}); err != nil || declined != "" {
		return err
	}
	r.relayedBytes.Add(offer.BodyBytes)
	defer r.relayedBytes.Add(-offer.BodyBytes)
	var request peer.RelayRequest
	if err := stream.Receive(peer.KindRelayRequest, &request); err != nil {
		return err
	}
	content, err := receiveRelayedBody(stream, offer.BodyBytes)
	if err != nil {
		return err
	}
	outcome := r.serveRelayed(ctx, request, r.relayedForward(request, content), stream, count.HeldBytes)
	return stream.Send(peer.KindRelayEnd, peer.RelayEnd{
		Complete: outcome.End == ending.Stated || outcome.End == ending.Unstated && !request.TakesUnstated, Unstated: outcome.End == ending.Unstated,
		Refusal: outcome.Refusal, Attempts: outcome.Attempts,
	})
}

// RelayedRequests returns the number of requests that this node is serving for other nodes.
func (r *Relay) RelayedRequests() int64 {
	return r.relayedRequests.Load()
}

// hasEndpoint reports whether an endpoint of a pool may get work from this node now.
func (r *Relay) hasEndpoint(pool string) bool {
	now := r.now()
	return !r.barred(pool) && slices.ContainsFunc(r.Registry().Endpoints(pool), func(e model.Endpoint) bool { return e.Accepts(now) })
}

func receiveRelayedBody(stream *peer.Stream, size int64) ([]byte, error) {
	var content []byte
	for int64(len(content)) < size {
		var part peer.RelayData
		if err := stream.Receive(peer.KindRelayData, &part); err != nil {
			return nil, err
		}
		if len(part.Data) == 0 || int64(len(content)+len(part.Data)) > size {
			return nil, errRelayedBody
		}
		content = append(content, part.Data...)
	}
	return content, nil
}

// relayedForward returns the caller's request as the other node has received it.
func (r *Relay) relayedForward(m peer.RelayRequest, content []byte) model.Forward {
	now := r.now()
	f := model.Forward{
		ID: m.ID, Method: m.Method, URI: m.URI, Path: m.Path, Host: m.Host, Header: m.Header, Body: content, Digest: m.Digest,
		Key: m.Key, ReceivedAt: now.Add(-m.ReceivedAgo), Waited: m.Waited, Prompt: m.Prompt, Pieces: m.Pieces, PieceKey: m.PieceKey,
	}
	if f.Header == nil {
		f.Header = http.Header{}
	}
	if m.Left > 0 {
		f.Deadline = now.Add(m.Left)
	}
	return f
}

// serveRelayed runs a request of another node and passes its answer on over the stream.
func (r *Relay) serveRelayed(ctx context.Context, m peer.RelayRequest, f model.Forward, stream *peer.Stream, count HeldBytes) Outcome {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	r.relayedRequests.Add(1)
	defer r.relayedRequests.Add(-1)
	view := r.View()
	admission, refusal := kernel.AdmitRelayed(r.now(), view, r.trust(), f, m.Route, m.Customer)
	if refusal == nil && m.Binding != nil {
		admission, refusal = admission.WithBinding(*m.Binding)
	}
	var callerStopsAt *time.Time
	if m.StopsIn > 0 {
		at := r.now().Add(m.StopsIn)
		callerStopsAt = &at
	}
	if refusal == nil && m.Attempts == 0 {
		// The node may have begun to leave since it took the offer.
		refusal = r.admitWhileLeaving(admission, leaving.AtReceipt, callerStopsAt)
	}
	if refusal == nil {
		refusal = r.admitEndpoints(f, admission)
	}
	f = f.WithPartDigests(admission.Pool)
	outcome := Outcome{Refusal: refusal, Attempts: m.Attempts}
	if refusal == nil {
		// That node may be stalled, and take the answer later.
		stream.AllowSilence(admission.Deadline.Sub(r.now()))
		job := &job{
			relay: r, forward: f, admission: admission, responder: &answerWriter{Responder: newStreamResponder(stream, count), method: f.Method}, startedAt: r.now(), trial: m.Trial,
			forNode: m.Node, attempts: m.Attempts, excluded: m.Excluded, mayHaveRun: m.MayHaveRun, counted: m.Counted, lastEventID: m.LastEventID,
			streamKey: m.StreamKey, callerStopsAt: callerStopsAt,
			onSend: func(attempts int) { r.notifySent(stream, attempts) },
		}
		outcome = job.serve(ctx)
		f = job.forward
	}
	if m.MayHaveRun && outcome.Refusal != nil {
		outcome.Refusal = outcome.Refusal.WithVerdict(model.MayHaveRun)
	}
	outcome.For = m.Node
	switch {
	case outcome.Refusal != nil:
		r.metrics.CountEvent("RelayedRefused")
	case outcome.Complete:
		r.metrics.CountEvent("RelayedAnswered")
	default:
		r.metrics.CountEvent("RelayedBrokenOff")
	}
	r.logOutcome(f, admission, view, outcome)
	return outcome
}

// notifySent tells the other node of an attempt. A failure shows as the end of the stream's context.
func (r *Relay) notifySent(stream *peer.Stream, attempts int) {
	if stream.Send(peer.KindRelaySent, peer.RelaySent{Attempts: attempts}) != nil {
		r.metrics.CountEvent("RelayedLost")
	}
}

// newStreamResponder returns a responder that passes an answer on to the node that has the caller.
func newStreamResponder(stream *peer.Stream, count HeldBytes) Responder {
	var beginErr error
	var binding *kernel.Binding
	return Responder{
		Held: count,
		Bind: func(b kernel.Binding) { binding = &b },
		Begin: func(status int, header http.Header, framing ending.Framing) ending.Framing {
			beginErr = stream.Send(peer.KindRelayHead, peer.RelayHead{Status: status, Header: header, Framing: framing, Binding: binding})
			return framing
		},
		Write: func(p []byte) error {
			if beginErr != nil {
				return beginErr
			}
			return writeRelayData(stream, p)
		},
	}
}
