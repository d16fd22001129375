package node

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/dispatch"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/peer"
	"basilstall.example/basilstall/reach"
)

// offerTimeout bounds the question to a member whether it runs a stage in place of this one.
const offerTimeout = 300 * time.Millisecond

var errMemberDeclined = errors.New("node: the member does not run the stage")

// newPaths returns this node's paths to the endpoints of each pool.
func (n *Node) newPaths() *reach.Tracker {
	return reach.NewTracker(n.ctx, reach.Dependencies{
		Pools:     n.dispatcher.Pools,
		Endpoints: n.dispatcher.ListedEndpoints,
		Connect: func(ctx context.Context, e model.Endpoint) error {
			beganAt := time.Now()
			err := connectOnce(ctx, e.Address)
			n.paths.Record(e, beganAt, err)
			return err
		},
		OnLost: func(pool string, path kernel.Path, err error) {
			n.metrics.CountEvent("PathLost")
			n.log.Info().Str("Pool", pool).Int("Unreached", path.Unreached()).Err(err).Msg("no endpoint of the pool is reached")
		},
		OnBack: func(e model.Endpoint, since time.Time) {
			n.metrics.CountEvent("PathBack")
			n.log.Info().Str("Pool", e.Pool).Dur("After", time.Since(since)).Msg("the pool is reached again")
		},
		OnTry: func() { n.metrics.CountEvent("PathTried") },
	}, time.Now)
}

// runStage runs a stage, or has a member run it that reaches the pool if this node does not.
func (n *Node) runStage(ctx context.Context, job dispatch.Job) (dispatch.Result, error) {
	pool := job.Work.Stage.Pool
	if n.options.Plain {
		return n.dispatcher.Run(ctx, job)
	}
	if !n.paths.Lost(pool) {
		result, err := n.dispatcher.Run(ctx, job)
		if err == nil || model.AsRefusal(err).Verdict != model.NotRun || !n.paths.Lost(pool) && model.AsRefusal(err).Reason != model.EndpointsBrittle {
			return result, err
		}
	}
	return n.runStageThroughMember(ctx, job)
}

// runStageThroughMember asks members one after the other to run a stage, until one does. Each stage crosses from member to
// member once at most.
func (n *Node) runStageThroughMember(ctx context.Context, job dispatch.Job) (dispatch.Result, error) {
	pool := job.Work.Stage.Pool
	peers := n.otherPeers()
	refused := kernel.RefuseUnreachable(pool)
	for range kernel.MaxHelpersAsked {
		name := n.helpers.Pick(time.Now(), pool, peers)
		if name == "" || ctx.Err() != nil {
			break
		}
		peers = withoutPeer(peers, name)
		result, err := n.runStageAt(ctx, name, job)
		switch {
		case err == nil:
			return result, nil
		case isRefusal(err) && kernel.OtherHelperMayServe(model.AsRefusal(err)):
			refused = model.AsRefusal(err)
		case !errors.Is(err, errMemberDeclined):
			return result, err
		}
		n.helpers.RecordDeclined(time.Now(), name, pool)
	}
	n.metrics.CountEvent("NoNodeSends")
	return dispatch.Result{}, refused
}

func withoutPeer(peers []kernel.Peer, name string) []kernel.Peer {
	var out []kernel.Peer
	for _, p := range peers {
		if p.Name != name {
			out = append(out, p)
		}
	}
	return out
}

// otherPeers returns the live members but this one.
func (n *Node) otherPeers() []kernel.Peer {
	return withoutPeer(n.coordinatorPeers(), n.member.Node)
}

// runStageAt asks a member to run a stage, and has it run there if the member agrees.
func (n *Node) runStageAt(ctx context.Context, name string, job dispatch.Job) (dispatch.Result, error) {
	stream, load, err := n.offerStage(ctx, name, job.Work.Stage.Pool)
	if err != nil {
		return dispatch.Result{}, err
	}
	defer n.helpers.RecordAccepted(time.Now(), name, job.Work.Stage.Pool, load)()
	stop := context.AfterFunc(ctx, stream.Close)
	message := peer.RelayStage{Request: job.Work.Request, Stage: job.Work.Stage, Previous: job.Work.Previous, Left: time.Until(job.Work.Request.Deadline), Trial: job.Trial}
	if err := stream.Send(peer.KindRelayStage, message); err != nil {
		stop()
		stream.Close()
		return dispatch.Result{}, errors.Wrap(errMemberDeclined, err.Error())
	}
	result, err := ReceiveStage(stream, job.Emit)
	if !stop() || err != nil && !isRefusal(err) {
		stream.Close()
		if err != nil {
			n.metrics.CountEvent("NodeLostRequest")
			return result, model.NewRefusal(model.MayHaveRun, model.StageFailed, 0, "the member that ran the stage did not answer: "+err.Error())
		}
		return result, nil
	}
	stream.Release()
	return result, err
}

func isRefusal(err error) bool {
	var refusal *model.Refusal
	return errors.As(err, &refusal)
}

// ReceiveStage receives the tokens of a stage, which it passes to emit unless that is nil, and the end of the stage, of which
// the refusal is returned as the error. A stage without its end is an error that is no refusal.
func ReceiveStage(stream *peer.Stream, emit func(model.Token)) (dispatch.Result, error) {
	for {
		frame, err := stream.Next()
		if err != nil {
			return dispatch.Result{}, err
		}
		switch frame.Kind {
		case peer.KindRelayToken:
			var message peer.RelayToken
			if err := peer.DecodeBody(frame.Body, &message); err != nil {
				return dispatch.Result{}, err
			}
			if emit != nil {
				emit(message.Token)
			}
		case peer.KindRelayStageEnd:
			var end peer.RelayStageEnd
			if err := peer.DecodeBody(frame.Body, &end); err != nil {
				return dispatch.Result{}, err
			}
			result := dispatch.Result{Output: end.Output, Timing: end.Timing}
			if end.Refusal != nil {
				return result, end.Refusal
			}
			return result, nil
		default:
			return dispatch.Result{}, errors.Errorf("node: unexpected frame of kind %d in the answer to a stage", frame.Kind)
		}
	}
}

// offerStage asks a member whether it runs a stage of a pool. It returns the stream on which the stage is expected.
func (n *Node) offerStage(ctx context.Context, name, pool string) (*peer.Stream, float64, error) {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	for {
		stream, err := n.peers.OpenStream(ctx, n.addressOfMember(name))
		if err != nil {
			return nil, 0, errors.Wrap(errMemberDeclined, err.Error())
		}
		stop := context.AfterFunc(ctx, stream.Close)
		var reply peer.RelayReply
		if err = stream.Send(peer.KindRelay, peer.Relay{Pool: pool}); err == nil {
			err = stream.Receive(peer.KindRelay, &reply)
		}
		switch {
		case !stop() || err != nil:
			stream.Close()
			if stream.Reused() && ctx.Err() == nil {
				// The member may have closed the idle connection.
				continue
			}
			return nil, 0, errors.Wrap(errMemberDeclined, "no answer to the question")
		case reply.Declined != "":
			stream.Release()
			n.metrics.CountEvent("NodeDeclined" + string(reply.Declined))
			return nil, 0, errors.Wrap(errMemberDeclined, string(reply.Declined))
		default:
			return stream, reply.Load, nil
		}
	}
}

func (n *Node) addressOfMember(name string) string {
	members, _ := n.fleet.alive()
	for _, m := range members {
		if m.Node == name {
			return m.Address
		}
	}
	return ""
}

// handleRelay runs a stage for a member that does not reach the pool. The other member keeps the request and its key.
func (n *Node) handleRelay(ctx context.Context, body []byte, stream *peer.Stream) error {
	var offer peer.Relay
	if err := peer.DecodeBody(body, &offer); err != nil {
		return err
	}
	declined := model.Reason("")
	switch {
	case n.Draining():
		declined = model.Draining
	case n.paths.Lost(offer.Pool):
		declined = model.EndpointsUnreachable
	case len(n.dispatcher.Endpoints(offer.Pool)) == 0:
		declined = model.NoEndpoint
	}
	if err := stream.Send(peer.KindRelay, peer.RelayReply{Declined: declined, Load: float64(n.inFlight.Load())}); err != nil || declined != "" {
		return err
	}
	var message peer.RelayStage
	if err := stream.Receive(peer.KindRelayStage, &message); err != nil {
		return err
	}
	return stream.Send(peer.KindRelayStageEnd, n.runRelayedStage(ctx, message, stream))
}

// runRelayedStage runs a stage of another member's request.
func (n *Node) runRelayedStage(ctx context.Context, m peer.RelayStage, stream *peer.Stream) peer.RelayStageEnd {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	m.Request.Deadline = time.Now().Add(m.Left)
	plugin, known := kernel.PluginFor(m.Stage.Kind)
	if !known {
		return peer.RelayStageEnd{Refusal: model.NewRefusal(model.NotRun, model.UnknownPipeline, 0, "the kind of stage is not known here")}
	}
	ctx, cancel := context.WithDeadline(ctx, m.Request.Deadline)
	defer cancel()
	customer, _ := n.Settings().Customer(m.Request.Team, m.Request.Customer)
	result, err := n.dispatcher.Run(ctx, dispatch.Job{
		Work:   kernel.StageContext{Request: m.Request, Stage: m.Stage, Previous: m.Previous},
		Plugin: plugin,
		Weight: customer.Weight,
		Trial:  m.Trial,
		Emit: func(token model.Token) {
			if stream.Send(peer.KindRelayToken, peer.RelayToken{Token: token}) != nil {
				cancel()
			}
		},
	})
	n.metrics.CountEvent("RelayedStages")
	end := peer.RelayStageEnd{Output: result.Output, Timing: result.Timing}
	if err != nil {
		end.Refusal = model.AsRefusal(err)
	}
	return end
}
