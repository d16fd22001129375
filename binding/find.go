package binding

import (
	"context"
	"sync"
	"time"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/peer"
)

const (
	// findTimeout bounds the search for what a stream is bound to. Its caller waits for it.
	findTimeout = 900 * time.Millisecond
	// askStoreTimeout bounds a call to a registrar that may ask the store.
	askStoreTimeout = 350 * time.Millisecond
	// maxResolvers is how many registrars are asked to look into the store, one after the other.
	maxResolvers = 2
	// loadInterval is the minimum interval between two reads of all records in the store.
	loadInterval = time.Second
)

// Query asks what a stream is bound to.
type Query struct {
	Key  kernel.StreamKey
	Pool string
	// MayInfer is true if the binding may be concluded from the versions of the pool.
	MayInfer bool
	// OvertakingOnly is true if a record is known, and may have been overtaken.
	OvertakingOnly bool
}

// Find finds out what a stream is bound to: from this node's records, those of the registrars, and the store. Where this node
// knows only one version of the pool, the store is asked at the same time, since no record is needed then. A record that is not settled
// may have been overtaken by one that a node missed, which the store has.
func (a *Agent) Find(ctx context.Context, q Query) kernel.Finding {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	found, _ := a.findRecord(q.Key)
	if found.Settled {
		return found
	}
	registrars := a.registrars()
	_, only := a.Versions().Only(q.Pool)
	inferred := make(chan kernel.Finding, 1)
	if only && q.MayInfer {
		go func() { inferred <- a.askStore(ctx, registrars, q) }()
	} else {
		inferred <- kernel.Finding{}
	}
	found = found.Or(a.askRegistrars(ctx, registrars, q))
	switch {
	case found.Settled:
		return found
	case found.Known():
		confirmation := Query{Key: q.Key, Pool: q.Pool, OvertakingOnly: true}
		return found.Confirmed(a.askStore(ctx, registrars, confirmation))
	}
	if found := <-inferred; found.Known() {
		return found
	}
	return a.askStore(ctx, registrars, q)
}

// askRegistrars asks all registrars at once for the record of a stream. It returns the first one that is settled, or else the one that
// holds of all.
func (a *Agent) askRegistrars(ctx context.Context, registrars kernel.Registrars, q Query) kernel.Finding {
	if q.Key == "" {
		return kernel.Finding{}
	}
	ctx, cancel := context.WithTimeout(ctx, registrarTimeout)
	defer cancel()
	names := registrars.All()
	answers := make(chan kernel.Finding, len(names))
	var asked sync.WaitGroup
	for _, name := range names {
		if name != a.name {
			asked.Go(func() { answers <- a.ask(ctx, name, peer.FindStream{Key: q.Key, Pool: q.Pool}) })
		}
	}
	go func() {
		asked.Wait()
		close(answers)
	}()
	var found kernel.Finding
	for answer := range answers {
		if found = found.Or(answer); found.Settled {
			break
		}
	}
	return found
}

// ask asks one node what a stream is bound to.
func (a *Agent) ask(ctx context.Context, node string, message peer.FindStream) kernel.Finding {
	var reply peer.FindStreamReply
	if a.deps.Call(ctx, node, peer.KindFindStream, message, &reply) != nil {
		return kernel.Finding{Source: kernel.BindingUnanswered, Node: node}
	}
	reply.Finding.Node = node
	return reply.Finding
}

// askStore has a registrar look into the store, which does so for many nodes at once, or this node where no registrar can.
func (a *Agent) askStore(ctx context.Context, registrars kernel.Registrars, q Query) kernel.Finding {
	resolvers := registrars.Resolvers(q.Pool)
	for _, name := range resolvers[:min(maxResolvers, len(resolvers))] {
		if name == a.name {
			break
		}
		askCtx, cancel := context.WithTimeout(ctx, askStoreTimeout)
		found := a.ask(askCtx, name, peer.FindStream{Key: q.Key, Pool: q.Pool, AskStore: true, MayInfer: q.MayInfer, OvertakingOnly: q.OvertakingOnly})
		cancel()
		if found.Source != kernel.BindingUnanswered {
			return found
		}
	}
	return a.lookUp(ctx, q)
}

func (a *Agent) handleFind(ctx context.Context, body []byte) (any, error) {
	var message peer.FindStream
	if err := peer.DecodeBody(body, &message); err != nil {
		return nil, err
	}
	found, ok := a.findRecord(message.Key)
	switch {
	case found.Settled:
	case message.AskStore:
		found = a.lookUp(ctx, Query{Key: message.Key, Pool: message.Pool, MayInfer: message.MayInfer, OvertakingOnly: message.OvertakingOnly})
	case !ok:
		found = kernel.Finding{Source: kernel.BindingNotRecorded}
	}
	return peer.FindStreamReply{Finding: found}, nil
}

// listsOnly reports whether this node knows no engine of the pool at another version. During an outage of the store streams may have
// begun there before there was a row.
func (a *Agent) listsOnly(only kernel.Binding) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return kernel.ListsOnly(a.listed, only)
}

// lookUp asks the store, first for the versions of the pool and then for records.
func (a *Agent) lookUp(ctx context.Context, q Query) kernel.Finding {
	if q.MayInfer && !q.OvertakingOnly {
		askedAt := a.now()
		rows, err := a.readVersions.Do(ctx)
		if err != nil {
			return kernel.Finding{Source: kernel.BindingUnanswered}
		}
		if only, ok := (kernel.PoolVersions{}).With(askedAt, rows).Only(q.Pool); ok && a.listsOnly(only) {
			return kernel.Finding{Source: kernel.BindingOnlyVersion, Binding: only, Age: a.now().Sub(askedAt), Stored: true, Settled: true}
		}
	}
	if q.Key == "" {
		return kernel.Finding{Source: kernel.BindingNotRecorded}
	}
	if !q.OvertakingOnly && a.stored.ensureLoaded(ctx) != nil {
		return kernel.Finding{Source: kernel.BindingUnanswered}
	}
	if _, err := a.loadOvertaking.Do(ctx); err != nil {
		return kernel.Finding{Source: kernel.BindingUnanswered}
	}
	if found, ok := a.findRecord(q.Key); ok {
		found.Stored, found.Settled = true, true
		return found
	}
	return kernel.Finding{Source: kernel.BindingNotRecorded}
}
