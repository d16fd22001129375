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
		binds[n.Name] = binds[n.Name] || n.Binds
	}
	return slices.DeleteFunc(slices.Clone(r.Reachable()), func(p kernel.Peer) bool { return !binds[p.Name] })
}

// allNodesBind reports whether all announced nodes keep streams at the version that began them, and record it.
func (r *Relay) allNodesBind() bool {
	return r.nodesKnown.Load() && !slices.ContainsFunc(*r.nodes.Load(), func(n Node) bool {
		return !n.Binds && !n.Leaving && n.Name != r.options.Name
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

// recordBinding records which version is about to get a resumable stream.
func (j *job) recordBinding(e model.Endpoint) {
	b := kernel.Binding{Pool: j.admission.Pool, Version: e.Version}
	if !isResumable(j.admission.Route) || j.isRecorded && j.recorded == b {
		return
	}
	j.recorded, j.isRecorded = b, true
	r := j.relay
	j.bindingHeld = r.bindings.Record(j.bindingRecord(b), !j.unannounced && kernel.AllowsInference(j.admission.Route))
}

// awaitBinding waits, for a short time at most, until another node has the record of what the stream is about to be bound to. Usually it
// has long before the first event.
func (j *job) awaitBinding(ctx context.Context) {
	if j.bindingHeld == nil {
		return
	}
	timeout := time.NewTimer(maxBindingWait)
	defer timeout.Stop()
	select {
	case <-j.bindingHeld:
	case <-timeout.C:
		j.relay.metrics.CountEvent("BindingNotHeld")
	case <-ctx.Done():
	}
	j.bindingHeld = nil
}

// keepBinding keeps what a stream is bound to that another node has sent and recorded, in case its caller comes back here.
func (j *job) keepBinding(b kernel.Binding) {
	if isResumable(j.admission.Route) {
		j.relay.bindings.Record(j.bindingRecord(b), true)
	}
}

func (j *job) bindingRecord(b kernel.Binding) kernel.BindingRecord {
	now := j.relay.now()
	return kernel.BindingRecord{
		Key: j.streamKey, Binding: b, Order: now.Sub(j.forward.ReceivedAt).Milliseconds(),
		RecordedAt: now, ExpiresAt: kernel.BindingExpiry(now, j.admission.Deadline),
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
