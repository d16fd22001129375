package binding

import (
	"context"
	"slices"
	"time"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/peer"
)

const (
	// overtakeTimeout bounds the storing of a record that overtakes another one, and overtakingCallTimeout the call to the registrar that
	// stores it.
	overtakeTimeout       = time.Second
	overtakingCallTimeout = 400 * time.Millisecond
)

// Receipt tells how far a record has got.
type Receipt struct {
	// Done is closed once another node has acknowledged the record, or the store one that overtakes another, or once all attempts have
	// failed. It is nil if no other node needs the record.
	Done <-chan struct{}
	// Overtakes is true if another record of the stream may name another binding. The first event must not be passed on before the
	// store has this one.
	Overtakes bool
	err       error
}

// Err returns why the store may not have a record that overtakes another one; nil if it has it. Done is closed.
func (r *Receipt) Err() error {
	return r.err
}

// Replace records that a stream of this node is bound to something else than it has recorded before. Where no other node can have the
// earlier record, it yields; else the new one overtakes it.
func (a *Agent) Replace(r kernel.BindingRecord) *Receipt {
	if r.Key == "" {
		return &Receipt{}
	}
	if held := a.replaceUnsent(r); held != nil {
		return &Receipt{Done: held}
	}
	return a.RecordOvertaking(r)
}

// replaceUnsent replaces the record of a stream that only this node has. The returned channel is closed once another node has the new one;
// it is nil if others may have the old one.
func (a *Agent) replaceUnsent(r kernel.BindingRecord) <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, unsent := a.unsent[r.Key]; unsent {
		delete(a.unsent, r.Key)
		a.bindings.Add(a.now(), r)
		return a.queueLocked(r, true)
	}
	i := slices.IndexFunc(a.outgoing, func(o outgoingRecord) bool { return o.first && o.Key == r.Key })
	if i < 0 {
		return nil
	}
	a.outgoing[i].BindingRecord = r
	a.bindings.Add(a.now(), r)
	return a.outgoing[i].held
}

// RecordOvertaking does the same where another record of the stream may name another binding, in this node, another one or the store. It
// has the store take the record: whoever finds the other one asks the store.
func (a *Agent) RecordOvertaking(r kernel.BindingRecord) *Receipt {
	if r.Key == "" {
		return &Receipt{}
	}
	a.add(r)
	a.mu.Lock()
	delete(a.unsent, r.Key)
	a.queueLocked(r, false)
	a.mu.Unlock()
	a.metrics.CountEvent("BindingOvertaken")
	done := make(chan struct{})
	receipt := &Receipt{Done: done, Overtakes: true}
	go func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(a.ctx, overtakeTimeout)
		defer cancel()
		if receipt.err = a.storeOvertaking(ctx, r); receipt.err != nil {
			a.metrics.CountEvent("BindingNotOvertaken")
		}
	}()
	return receipt
}

// storeOvertaking returns once the store has the record, through the registrar that stores this node's records or, if that one does not
// answer, by this node.
func (a *Agent) storeOvertaking(ctx context.Context, r kernel.BindingRecord) error {
	records := []kernel.BindingRecord{r}
	if primary, _ := a.registrars().Of(a.name); primary != "" && primary != a.name {
		callCtx, cancel := context.WithTimeout(ctx, overtakingCallTimeout)
		defer cancel()
		message := peer.BindStreams{Records: a.encode(records), Overtaking: true}
		if a.deps.Call(callCtx, primary, peer.KindBindStreams, message, &peer.Empty{}) == nil {
			return nil
		}
		a.ForgetRegistrars()
	}
	return a.overtaking.store(ctx, records)
}

// Settle records that the first event of a stream is passed on by the node that has its caller: the binding does not change any more.
func (a *Agent) Settle(key kernel.StreamKey) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r, ok := a.bindings.Settle(a.now(), key)
	if !ok {
		return
	}
	if _, unsent := a.unsent[key]; unsent {
		a.unsent[key] = r
		return
	}
	if len(a.settled) < maxQueuedRecords {
		a.settled = append(a.settled, key)
		a.outbox.wake()
	}
}
