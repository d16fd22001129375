package node

import (
	"context"
	"strings"
	"time"

	"github.com/google/uuid"

	"basilstall.example/basilstall/caller"
	"basilstall.example/basilstall/clock"
	"basilstall.example/basilstall/connlimit"
	"basilstall.example/basilstall/held"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/leaving"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/operator"
	"basilstall.example/basilstall/peer"
)

// callerServerDependencies returns what the server for callers needs of the node.
func (n *Node) callerServerDependencies() caller.Dependencies {
	return caller.Dependencies{
		Authenticate: func(token string) (kernel.Caller, bool) { return n.Settings().Caller(token) },
		Pipeline:     func(team, name string) (model.Pipeline, bool) { return n.Settings().Pipeline(team, name) },
		Serve:        n.Serve,
		NewID:        func() string { return n.options.Name + "." + uuid.NewString() },
		Draining:     n.Draining,
		Ready:        n.Ready,
		Conns:        n.conns,
		CountEvent:   n.metrics.CountEvent,
		CountRefusal: n.countRefusal,
	}
}

// countRefusal counts a refusal, and logs one for lack of memory.
func (n *Node) countRefusal(r *model.Refusal) {
	n.metrics.CountRefusal(r)
	if r.Reason == model.NodeFull {
		n.log.Info().Str("Verdict", string(r.Verdict)).Str("Reason", string(r.Reason)).Dur("RetryAfter", r.RetryAfter).
			Int64("InFlight", n.inFlight.Load()).Msg("request refused")
	}
}

// newConnTracker returns what counts the bytes that the node holds for callers. The node has no memory limit of its own.
func (n *Node) newConnTracker() *connlimit.Tracker {
	conns := connlimit.NewTracker(held.NewLimits(0), clock.Now)
	conns.Report(n.metrics, n.log)
	return conns
}

// operatorServerDependencies returns what the server for operators needs of the node.
func (n *Node) operatorServerDependencies() operator.Dependencies {
	return operator.Dependencies{
		Settings:          n.Settings,
		Store:             n.store,
		OnSettingsChanged: n.reloadSettings,
		Status:            n.Status,
		Endpoints:         n.dispatcher.Status,
		Explain:           n.Explain,
		Ready:             n.Ready,
		WriteMetrics:      n.metrics.WritePrometheus,
		CountEvent:        n.metrics.CountEvent,
	}
}

// Serve serves one request of a caller. emit receives the tokens of a stream as they arrive; it is nil if the caller
// only wants the complete answer.
func (n *Node) Serve(ctx context.Context, req model.Request, pipeline model.Pipeline, emit func(model.Token)) (model.Answer, *model.Refusal) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	began := time.Now()
	n.lastArrival.Store(began.UnixNano())
	number := n.requestTimes.Begin(began, began, req.Pipeline)
	var answer model.Answer
	var refusal *model.Refusal
	if pipeline.NonIdempotent() {
		answer, refusal = n.serveNonIdempotent(ctx, req, pipeline, began)
	} else {
		var p progress
		answer, p, refusal = n.runPipeline(ctx, req, pipeline, emit)
		n.recordRequest(req, began, answer, p, refusal, "")
	}
	n.requestTimes.End(time.Now(), req.Pipeline, number, leaving.End{Answered: refusal == nil, Sent: refusal == nil || refusal.Verdict != model.NotRun})
	if refusal == nil {
		n.metrics.ObserveAnswer(req.Pipeline, time.Since(began))
	}
	return answer, refusal
}

// serveNonIdempotent serves a request of a pipeline with a non-idempotent stage, which runs at most once for its key.
func (n *Node) serveNonIdempotent(ctx context.Context, req model.Request, pipeline model.Pipeline, began time.Time) (model.Answer, *model.Refusal) {
	key, err := kernel.ParseKey(req.Account(), req.Key)
	if err != nil {
		return model.Answer{}, model.NewRefusal(model.NotRun, model.BadRequest, 0, err.Error())
	}
	if pipeline.Keys != "" && pipeline.Keys != key.Mode() {
		return model.Answer{}, model.NewRefusal(model.MayHaveRun, model.BadRequest, 0,
			"this pipeline takes only keys of mode "+string(pipeline.Keys)+": Claims are UUIDv7, Durable any other form")
	}
	if refusal := n.admitWhileDraining(began, req, false); refusal != nil {
		// An earlier request with the key may have run.
		return model.Answer{}, refusal.WithVerdict(model.MayHaveRun)
	}
	answer, refusal := n.serveKeyed(ctx, keyedRequest{Request: req, key: key, pipeline: pipeline})
	if answer.ID == req.ID && answer.RanOn == n.options.Name {
		return answer, refusal
	}
	// The request ran on another node or earlier: this node's record names the node that has the details.
	forwarded := answer.RanOn
	if forwarded == "" {
		if owner, ok := n.claims.current().OwnerOf(key); ok {
			forwarded = owner.Node
		}
	}
	if forwarded != n.options.Name {
		n.recordRequest(req, began, answer, progress{stages: answer.Stages}, refusal, forwarded)
	}
	return answer, refusal
}

// reloadSettings applies a change that this node has just written to the settings, without waiting for the next poll.
func (n *Node) reloadSettings() {
	snapshot, err := n.store.Snapshot(n.ctx)
	n.recordTableResult(err)
	if err == nil {
		n.applySettings(snapshot)
	}
}

// Status returns the state of the node and the fleet for operators.
func (n *Node) Status() operator.Status {
	row := n.claims.current()
	ready, notReady := n.Ready()
	status := operator.Status{
		Node:          n.options.Name,
		Incarnation:   n.member.Incarnation,
		FailureDomain: n.options.FailureDomain,
		Ready:         ready,
		NotReady:      notReady,
		Draining:      n.draining.Load(),
		TableAnswers:  !n.tableDown.Load(),
		Revision:      n.Settings().Revision,
		InFlight:      n.inFlight.Load(),
		Era:           row.NewestEra().Number,
		EraFrom:       row.NewestEra().From,
		Horizon:       row.Horizon,
		Keys:          n.keys.len(),
		Customers:     n.customers.busiest(time.Now()),
	}
	evacuations := n.dispatcher.Evacuations()
	for _, domain := range evacuations.Domains() {
		status.Evacuated = append(status.Evacuated, operator.EvacuatedDomain{FailureDomain: domain, Since: evacuations.Since(domain)})
	}
	for _, info := range n.fleet.members() {
		status.Members = append(status.Members, operator.MemberStatus{
			Node:          info.Member.Node,
			Incarnation:   info.Member.Incarnation,
			FailureDomain: info.FailureDomain,
			State:         memberStateName(info.State),
		})
	}
	for _, m := range row.NewestEra().Members {
		status.EraMembers = append(status.EraMembers, m.Node)
	}
	return status
}

func memberStateName(s kernel.MemberState) string {
	switch s {
	case kernel.MemberAlive:
		return "Alive"
	case kernel.MemberLeaving:
		return "Leaving"
	default:
		return "Dead"
	}
}

// Explain returns the record of a request, from the node that ran it if that can be reached. If this node has no
// record, it asks the node that is named in the request ID. It returns false if no record was found.
func (n *Node) Explain(ctx context.Context, id string) (model.Record, bool) {
	record, ok := n.records.get(id)
	target := record.Forwarded
	if !ok {
		target, _, _ = strings.Cut(id, ".")
	}
	if target == "" || target == n.options.Name {
		return record, ok
	}
	for _, info := range n.fleet.members() {
		if info.Member.Node != target {
			continue
		}
		var reply peer.ExplainReply
		err := n.peers.Call(ctx, info.Member.Address, peer.KindExplain, peer.Explain{Request: id}, &reply)
		if err == nil && reply.Found {
			return reply.Record, true
		}
	}
	return record, ok
}

func (n *Node) handleExplain(_ context.Context, body []byte) (any, error) {
	var request peer.Explain
	if err := peer.DecodeBody(body, &request); err != nil {
		return nil, err
	}
	record, ok := n.records.get(request.Request)
	return peer.ExplainReply{Found: ok, Record: record}, nil
}
