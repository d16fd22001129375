package relay

import (
	"context"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"basilstall.example/basilstall/binding"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

const (
	// maxBindingWait bounds how long the first event of a stream waits until another node knows what the stream is bound to. It is
	// short beside any objective.
	maxBindingWait = 50 * time.Millisecond
	// announceTimeout bounds the wait of a stream until it may begin at a version at which none has begun before.
	announceTimeout = 300 * time.Millisecond
)

// newBindings returns the agent that keeps what streams are bound to.
func (r *Relay) newBindings() *binding.Agent {
	return binding.NewAgent(r.ctx, r.options.Name, binding.Dependencies{
		Peers: r.bindingPeers, AllNodesRecord: r.allNodesBind, Call: r.callNode, ReadVersions: r.deps.ReadVersions, WriteVersion: r.deps.WriteVersion,
		WriteRecords: r.deps.WriteBindings, ReadRecords: r.deps.ReadBindings,
	}, r.now, r.metrics, r.log)
}

// bindingPeers returns the reachable nodes that keep streams at the version that began them.
func (r *Relay) bindingPeers() []kernel.Peer {
	binds := map[string]bool{r.options.Name: true}
	for _, n := range *r.nodes.Load() {
		binds[n.Name] = binds[n.Name] || n.SettlesBindings
	}
	return slices.DeleteFunc(slices.Clone(r.Reachable()), func(p kernel.Peer) bool { return !binds[p.Name] })
}

// allNodesBind reports whether all announced nodes keep streams at the version that began them, and record it.
func (r *Relay) allNodesBind() bool {
	return r.nodesKnown.Load() && !slices.ContainsFunc(*r.nodes.Load(), func(n Node) bool {
		return !n.SettlesBindings && !n.Leaving && n.Name != r.options.Name
	})
}

// updateListedVersions tells the agent which versions engines are listed with.
func (r *Relay) updateListedVersions(registry kernel.Registry) {
	now := r.now()
	r.bindings.SetListed(now.Add(-registry.Age(now)), binding.ListedVersions(r.View().Table, registry))
}

// ApplyVersions applies changes of the rows of versions, or their absence, that were read from the store.
func (r *Relay) ApplyVersions(provenAt time.Time, changes []kernel.VersionChange) {
	r.bindings.ApplyVersions(provenAt, changes)
}

// admitResumption finds out what the stream is bound to that a request resumes, and admits the request there. The finding is nil
// for any other request.
func (r *Relay) admitResumption(ctx context.Context, f model.Forward, a kernel.Admission) (kernel.Admission, *kernel.Finding, *model.Refusal) {
	if !kernel.IsResumption(a.Route, f) {
		return a, nil, nil
	}
	found := r.bindings.Find(ctx, binding.Query{
		Key: kernel.NewStreamKey(a.Customer, f.Resumes), Pool: a.Pool,
		MayInfer: kernel.MayInferBinding(r.now(), *r.routeHistory.Load(), a.Route, r.allNodesBind()),
	})
	a, refusal := kernel.AdmitResumed(a, found)
	if refusal == nil {
		refusal = kernel.RecheckAdmission(r.now(), r.View(), r.trust(), f, a)
	}
	r.metrics.CountEvent("StreamTakenUp" + string(found.Source))
	line := r.log.Info().Str("Request", f.ID).Str("Route", a.Route.Name).Str("Resumes", f.Resumes).Str("LastEvent", f.LastEventID).
		Str("Pool", a.Pool).Dict("Resumption", resumptionDict(found)).Dur("Elapsed", r.now().Sub(f.ReceivedAt))
	if refusal != nil {
		line = line.Str("Refused", string(refusal.Reason))
	}
	line.Msg("stream taken up again")
	return a, &found, refusal
}

// resumptionDict returns what was found out of a resumed stream, for logs.
func resumptionDict(f kernel.Finding) *zerolog.Event {
	return zerolog.Dict().Str("Source", string(f.Source)).Str("Node", f.Node).Bool("Stored", f.Stored).Dur("Age", f.Age).
		Str("Pool", f.Binding.Pool).Str("Version", f.Binding.Version)
}

// beginnable returns the endpoints at which the stream of the request may begin: a resumable one begins only at versions that other
// nodes can learn of.
func (j *job) beginnable(endpoints []model.Endpoint) []model.Endpoint {
	if j.admission.Bound || j.unannounced || !isResumable(j.admission.Route) {
		return endpoints
	}
	now, versions := j.relay.now(), j.relay.bindings.Versions()
	unknown := func(e model.Endpoint) bool {
		return !versions.MayBegin(now, kernel.Binding{Pool: e.Pool, Version: e.Version})
	}
	if !slices.ContainsFunc(endpoints, unknown) {
		return endpoints
	}
	return slices.DeleteFunc(slices.Clone(endpoints), unknown)
}

func isResumable(route model.Route) bool {
	return route.Kind == model.Stream && route.Resumable
}

// announceVersions makes all listed versions of the request's pool known to other nodes. It reports whether the stream may now begin
// at a version at which it could not before. Where none can be announced, as the store does not answer, the stream may begin at any, and
// is recorded.
func (j *job) announceVersions(ctx context.Context) bool {
	r := j.relay
	if j.admission.Bound || j.unannounced || !isResumable(j.admission.Route) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	announced, failed := false, false
	for _, version := range kernel.VersionsOf(j.admission.Endpoints(r.Registry())) {
		b := kernel.Binding{Pool: j.admission.Pool, Version: version}
		if r.bindings.Versions().MayBegin(r.now(), b) {
			continue
		}
		// The rows may be too old for this node to rely on them, whatever was written.
		if r.bindings.Announce(ctx, b) == nil && r.bindings.Versions().MayBegin(r.now(), b) {
			announced = true
		} else {
			failed = true
		}
	}
	if failed && !announced && len(j.allowedEndpoints()) == 0 {
		j.unannounced = true
		r.metrics.CountEvent("StreamBegunUnannounced")
	}
	return announced || j.unannounced
}

// recordChoice records which version is about to get a resumable stream. Beside other attempts, and after those through other nodes, it is
// recorded only if it brings the first event.
func (j *job) recordChoice(state *streamState, e model.Endpoint) {
	if isResumable(j.admission.Route) && j.askedNodes(state) == 0 && len(state.running) == 0 {
		j.recordOnce(state, kernel.Binding{Pool: j.admission.Pool, Version: e.Version})
	}
}

// recordRemaining records the version of the only attempt that is left, if it has not brought its first event.
func (j *job) recordRemaining(state *streamState) {
	if len(state.running) != 1 || j.admission.Bound || j.askedNodes(state) > 0 {
		return
	}
	for _, a := range state.running {
		if a.node == nil && isResumable(j.admission.Route) {
			j.recordOnce(state, kernel.Binding{Pool: j.admission.Pool, Version: a.endpoint.Version})
		}
	}
}

// recordOnce records what a stream is bound to unless its first event comes from elsewhere, if that was not recorded last.
func (j *job) recordOnce(state *streamState, b kernel.Binding) {
	if !j.isRecorded || j.recorded != b {
		j.recordBinding(state, b, j.admission.Bound)
	}
}

// recordBinding records what a stream is bound to. An earlier record, also one of a node that got the request, may name another version.
func (j *job) recordBinding(state *streamState, b kernel.Binding, settled bool) {
	r := j.relay
	record := j.bindingRecord(b)
	record.Settled = settled
	replaces := j.isRecorded && j.recorded != b
	j.recorded, j.isRecorded, j.lastOrder = b, true, record.Order
	switch {
	case !j.admission.Bound && j.askedNodes(state) > 0:
		j.receipt = r.bindings.RecordOvertaking(record)
	case !j.admission.Bound && replaces:
		j.receipt = r.bindings.Replace(record)
	default:
		j.receipt = r.bindings.Record(record, !j.unannounced && kernel.AllowsInference(j.admission.Route))
	}
}

// askedNodes returns the number of nodes that got the request, or may get it yet, and may record the stream.
func (j *job) askedNodes(state *streamState) int {
	asked := j.nodesAsked
	for _, a := range state.running {
		if a.node != nil {
			asked += max(1, int(a.node.asked.Load()))
		}
	}
	return asked
}

// bindAtFirstEvent binds a resumable stream to the version that has brought its first event, before the event is passed on. It returns a
// refusal if other nodes could go by a record that names another version.
func (j *job) bindAtFirstEvent(ctx context.Context, p *pool, state *streamState, part streamPart) *model.Refusal {
	a := part.attempt
	if part.end != nil || a.spoke || !isResumable(j.admission.Route) {
		return nil
	}
	b := kernel.Binding{Pool: p.name, Version: a.endpoint.Version}
	if a.node != nil {
		if a.binding == nil {
			return nil
		}
		b = *a.binding
	}
	settles := j.forNode == "" && !j.admission.Bound
	asked := j.askedNodes(state)
	switch {
	case a.node != nil && !j.isRecorded && asked == 1:
		// That node has recorded it, and no other one has.
		j.relay.bindings.Record(j.settledRecord(b), true)
	case !j.isRecorded || j.recorded != b || asked > 0:
		// A node that got the request may still record what it likes: only a settled record holds over that.
		j.recordBinding(state, b, settles || j.admission.Bound)
	case settles && j.receipt.Overtakes:
		j.relay.bindings.Record(j.settledRecord(b), false)
	case settles:
		j.relay.bindings.Settle(j.streamKey)
	}
	if refusal := j.awaitBinding(ctx, p); refusal != nil {
		return refusal
	}
	j.bind(b)
	return nil
}

// awaitBinding waits until the store has a record that overtakes another one or, for a short time at most, until another node has any other
// record of what the stream is about to be bound to. Usually either is so long before the first event.
func (j *job) awaitBinding(ctx context.Context, p *pool) *model.Refusal {
	receipt := j.receipt
	j.receipt = &binding.Receipt{}
	if receipt == nil || receipt.Done == nil {
		return nil
	}
	if receipt.Overtakes {
		select {
		case <-receipt.Done:
			if receipt.Err() == nil || !j.relay.bindings.NeedsRecord(p.name) {
				return nil
			}
		case <-ctx.Done():
		}
		return model.NewRefusal(model.MayHaveRun, model.StreamUnknown, 0, "the store has not taken the version that the stream is bound to")
	}
	timeout := time.NewTimer(maxBindingWait)
	defer timeout.Stop()
	select {
	case <-receipt.Done:
	case <-timeout.C:
		j.relay.metrics.CountEvent("BindingNotHeld")
	case <-ctx.Done():
	}
	return nil
}

func (j *job) settledRecord(b kernel.Binding) kernel.BindingRecord {
	record := j.bindingRecord(b)
	record.Settled = true
	return record
}

func (j *job) bindingRecord(b kernel.Binding) kernel.BindingRecord {
	now := j.relay.now()
	order := now.Sub(j.forward.ReceivedAt).Milliseconds()
	if j.isRecorded {
		order = max(order, j.lastOrder+1)
	}
	return kernel.BindingRecord{
		Key: j.streamKey, Binding: b, Order: order, RecordedAt: now, ExpiresAt: kernel.BindingExpiry(now, j.admission.Deadline),
	}
}

// bind records that the caller is about to get the first event of a resumable stream: the stream may only go on at the version that
// made it.
func (j *job) bind(b kernel.Binding) {
	if !isResumable(j.admission.Route) || j.admission.Bound {
		return
	}
	j.admission.Bound, j.admission.Binding = true, b
	if j.responder.Bind != nil {
		j.responder.Bind(b)
	}
}

// possibleHelpers returns the nodes that may send the request in place of this one, but the excluded ones. A stream that has begun
// goes only to nodes that keep it at its version.
func (j *job) possibleHelpers(excluded []string) []kernel.Peer {
	others := j.relay.otherNodes(excluded)
	if !j.admission.Bound {
		return others
	}
	peers := j.relay.bindingPeers()
	return slices.DeleteFunc(others, func(p kernel.Peer) bool {
		return !slices.ContainsFunc(peers, func(b kernel.Peer) bool { return b.Name == p.Name })
	})
}
