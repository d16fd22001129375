package binding

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"basilstall.example/basilstall/clock"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/metric"
	"basilstall.example/basilstall/peer"
)

const (
	// registrarTimeout bounds a call to a registrar that answers from its memory.
	registrarTimeout = 150 * time.Millisecond
	// storeTimeout bounds a call of the store.
	storeTimeout = 700 * time.Millisecond
	// sendRounds is how often records are sent while registrars do not answer. Each round looks up the registrars again.
	sendRounds = 3
	// maxQueuedRecords bounds the records that wait to be sent or stored.
	maxQueuedRecords = 20_000
	// registrarsTTL is how long the ranking of the registrars is used.
	registrarsTTL = 500 * time.Millisecond
	// sweepInterval is how often due changes of rows of versions, and expired records, are looked for.
	sweepInterval = 250 * time.Millisecond
)

type (
	// Dependencies are the functions through which an Agent learns of nodes and reaches them and the store.
	Dependencies struct {
		// Peers returns the nodes that answer, including this one.
		Peers func() []kernel.Peer
		// AllNodesRecord reports whether all nodes record what streams are bound to. Nodes of older builds do not.
		AllNodesRecord func() bool
		// Call calls another node by its name.
		Call func(ctx context.Context, node string, kind peer.Kind, message, reply any) error
		// ReadVersions reads the rows of versions of all pools in the store.
		ReadVersions func(ctx context.Context) ([]kernel.VersionChange, error)
		// WriteVersion writes a change of a row of versions to the store.
		WriteVersion func(ctx context.Context, w kernel.VersionWrite) error
		// WriteRecords writes a row with records to the store and removes other rows.
		WriteRecords func(ctx context.Context, key string, records []peer.StreamBinding, remove []string) error
		// ReadRecords reads the rows with records in the store whose keys have a prefix, by key.
		ReadRecords func(ctx context.Context, prefix string) (map[string][]peer.StreamBinding, error)
	}

	// Agent keeps the bindings of one node's streams, and those of other nodes if it is a registrar. It is safe for concurrent
	// use.
	Agent struct {
		ctx     context.Context
		name    string
		deps    Dependencies
		now     func() time.Time
		metrics *metric.Set
		log     zerolog.Logger
		// versions holds the rows of versions as they were last read.
		versions atomic.Pointer[kernel.PoolVersions]

		outbox *outbox
		// stored and overtaking are the records in the store: all, and those that overtake others. The latter have rows of their own.
		stored     *storedRecords
		overtaking *storedRecords
		// readVersions, loadRecords and loadOvertaking are the calls of the store that several requests share.
		readVersions   *sharedCall
		loadRecords    *sharedCall
		loadOvertaking *sharedCall

		// mu guards the fields below.
		mu sync.Mutex
		// bindings holds the records of this node's streams and, at a registrar, of other nodes.
		bindings  *kernel.Bindings
		publisher *kernel.VersionPublisher
		// listed holds the versions of listed endpoints that take work, of pools with resumable streams. listProvenAt is when
		// the list was last proven current.
		listed       []kernel.Binding
		listProvenAt time.Time
		// announceFailedAt is when the last announcement of a version for a stream failed.
		announceFailedAt time.Time
		// outgoing are records that wait to be sent to the registrars, and settled streams of which they have the record.
		outgoing []outgoingRecord
		settled  []kernel.StreamKey
		// unsent are records of this node's streams that no other node needed when they began. They are sent once others do.
		unsent map[kernel.StreamKey]kernel.BindingRecord

		// cachedRegistrars are the registrars as of registrarsAt.
		cachedRegistrars kernel.Registrars
		registrarsAt     time.Time
	}

	// outgoingRecord is a record that waits to be sent. held is closed once another node has acknowledged it, or once all attempts to
	// send it have failed. first is true if no other record of the stream was sent before.
	outgoingRecord struct {
		kernel.BindingRecord
		held  chan struct{}
		first bool
	}
)

// NewAgent returns an agent. Its background work ends with ctx.
func NewAgent(ctx context.Context, name string, deps Dependencies, now func() time.Time, metrics *metric.Set, log zerolog.Logger) *Agent {
	a := &Agent{
		ctx: ctx, name: name, deps: deps, now: now, metrics: metrics, log: log,
		bindings: kernel.NewBindings(), publisher: kernel.NewVersionPublisher(), unsent: map[kernel.StreamKey]kernel.BindingRecord{},
	}
	a.versions.Store(&kernel.PoolVersions{})
	a.stored = newStoredRecords(a, "", kernel.NewStorePacer())
	a.overtaking = newStoredRecords(a, overtakingPrefix, kernel.NewOvertakingPacer())
	a.outbox = newOutbox(ctx, now, sendCoalesceTime, kernel.NewRegistrarPacer(), func() time.Duration { return a.registrars().FlushInterval() }, a.flush)
	a.readVersions = newSharedCall(ctx, deps.ReadVersions)
	a.loadRecords = newSharedCall(ctx, a.stored.load)
	a.loadOvertaking = newSharedCall(ctx, a.overtaking.load)
	metrics.Gauge("stream_bindings", func() float64 { return float64(a.Len()) })
	go func() {
		for clock.Sleep(ctx, sweepInterval) {
			a.sweep()
		}
	}()
	return a
}

// Len returns the number of records that this node keeps.
func (a *Agent) Len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bindings.Len()
}

// Handlers returns the handlers of other nodes' calls.
func (a *Agent) Handlers() map[peer.Kind]peer.Handler {
	return map[peer.Kind]peer.Handler{
		peer.KindBindStreams: a.handleBind,
		peer.KindFindStream:  a.handleFind,
	}
}

// Versions returns the rows of versions as this node has read them.
func (a *Agent) Versions() kernel.PoolVersions {
	return *a.versions.Load()
}

// registrars returns the registrars as of registrarsTTL ago at most. In a large fleet it takes a third of a millisecond to rank the nodes.
func (a *Agent) registrars() kernel.Registrars {
	now := a.now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.registrarsAt.IsZero() || now.Sub(a.registrarsAt) >= registrarsTTL {
		a.cachedRegistrars, a.registrarsAt = kernel.NewRegistrars(a.deps.Peers()), now
	}
	return a.cachedRegistrars
}

// ForgetRegistrars has the registrars ranked anew, as one does not answer or other nodes are known.
func (a *Agent) ForgetRegistrars() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.registrarsAt = time.Time{}
}

// Record records what a stream of this node is bound to unless an engine at another version brings its first event. inferable is
// true if other nodes may infer it while its pool has one version.
func (a *Agent) Record(r kernel.BindingRecord, inferable bool) *Receipt {
	if r.Key == "" {
		return &Receipt{}
	}
	a.mu.Lock()
	known, ok := a.bindings.Find(a.now(), r.Key)
	a.mu.Unlock()
	if ok && known.Binding != r.Binding {
		return a.Replace(r)
	}
	a.add(r)
	needed := !inferable || a.NeedsRecord(r.Binding.Pool)
	a.mu.Lock()
	defer a.mu.Unlock()
	if needed {
		_, unsent := a.unsent[r.Key]
		delete(a.unsent, r.Key)
		return &Receipt{Done: a.queueLocked(r, unsent || !ok)}
	}
	if len(a.unsent) < maxQueuedRecords {
		a.unsent[r.Key] = r
	}
	return &Receipt{}
}

// NeedsRecord reports whether other nodes cannot conclude what streams of a pool are bound to from the versions of the pool.
func (a *Agent) NeedsRecord(pool string) bool {
	now, versions, allRecord := a.now(), a.Versions(), a.deps.AllNodesRecord()
	a.mu.Lock()
	defer a.mu.Unlock()
	return kernel.NeedsBindingRecord(now, versions, a.listed, pool, allRecord)
}

// queueLocked queues a record for the registrars; first is true if no other record of the stream was sent before. It returns nil if there
// is no room for it.
func (a *Agent) queueLocked(r kernel.BindingRecord, first bool) <-chan struct{} {
	if len(a.outgoing) >= maxQueuedRecords {
		a.metrics.CountEvent("BindingDropped")
		return nil
	}
	held := make(chan struct{})
	a.outgoing = append(a.outgoing, outgoingRecord{BindingRecord: r, held: held, first: first})
	a.metrics.CountEvent("BindingRecorded")
	a.outbox.wake()
	return held
}

// sendNeeded queues the records of streams that other nodes could conclude when they began, and cannot any more.
func (a *Agent) sendNeeded() {
	now := a.now()
	versions, allRecord := a.Versions(), a.deps.AllNodesRecord()
	needed := map[string]bool{}
	a.mu.Lock()
	defer a.mu.Unlock()
	for key, r := range a.unsent {
		pool := r.Binding.Pool
		if _, known := needed[pool]; !known {
			needed[pool] = kernel.NeedsBindingRecord(now, versions, a.listed, pool, allRecord)
		}
		switch {
		case !now.Before(r.ExpiresAt):
			delete(a.unsent, key)
		case needed[pool]:
			delete(a.unsent, key)
			a.queueLocked(r, true)
		}
	}
}

// add adds a record to those that this node keeps. It reports false if there is no room for it.
func (a *Agent) add(r kernel.BindingRecord) bool {
	a.mu.Lock()
	added := a.bindings.Add(a.now(), r)
	a.mu.Unlock()
	if !added {
		a.metrics.CountEvent("BindingDropped")
	}
	return added
}

// flush sends the waiting records to the registrars, in the background: the next ones do not wait for the answers.
func (a *Agent) flush() {
	a.mu.Lock()
	outgoing, settled := a.outgoing, a.settled
	a.outgoing, a.settled = nil, nil
	a.mu.Unlock()
	if len(outgoing)+len(settled) == 0 {
		return
	}
	records := make([]kernel.BindingRecord, 0, len(outgoing))
	for _, r := range outgoing {
		records = append(records, r.BindingRecord)
	}
	held := sync.OnceFunc(func() {
		for _, r := range outgoing {
			close(r.held)
		}
	})
	go func() {
		defer held()
		a.deliver(records, settled, held)
	}()
}

// deliver sends records and settled streams to both registrars at once. Rounds follow while one does not answer, as it may have been lost.
// It calls held once another node has them.
func (a *Agent) deliver(records []kernel.BindingRecord, settled []kernel.StreamKey, held func()) {
	sent := map[string]bool{}
	for range sendRounds {
		primary, secondary := a.registrars().Of(a.name)
		messages := map[string]peer.BindStreams{}
		if primary != "" && !sent[primary] {
			messages[primary] = peer.BindStreams{Store: true, Settled: settled}
		}
		if secondary != "" && !sent[secondary] {
			messages[secondary] = peer.BindStreams{Storer: primary, Settled: settled}
		}
		if a.send(sent, messages, records, held) {
			return
		}
		a.ForgetRegistrars()
	}
	a.metrics.CountEvent("RegistrarNotInformed")
}

// send sends records to several registrars at once and adds those that have them to sent. It reports whether all have.
func (a *Agent) send(sent map[string]bool, messages map[string]peer.BindStreams, records []kernel.BindingRecord, held func()) bool {
	var mu sync.Mutex
	var sends sync.WaitGroup
	all := true
	for registrar, message := range messages {
		sends.Go(func() {
			ok := a.sendTo(registrar, message, records)
			if ok && registrar != a.name {
				held()
			}
			mu.Lock()
			defer mu.Unlock()
			sent[registrar] = ok
			all = all && ok
		})
	}
	sends.Wait()
	return all
}

// sendTo sends records to a registrar, which may be this node, and reports whether it has them.
func (a *Agent) sendTo(registrar string, message peer.BindStreams, records []kernel.BindingRecord) bool {
	if registrar == a.name {
		a.keep(message, records)
		return true
	}
	message.Records = a.encode(records)
	ctx, cancel := context.WithTimeout(a.ctx, registrarTimeout)
	defer cancel()
	return a.deps.Call(ctx, registrar, peer.KindBindStreams, message, &peer.Empty{}) == nil
}

// keep queues records that this node is to store, or to store if their storer is lost.
func (a *Agent) keep(message peer.BindStreams, records []kernel.BindingRecord) {
	a.stored.add(message.Store, message.Storer, records)
}

func (a *Agent) handleBind(ctx context.Context, body []byte) (any, error) {
	var message peer.BindStreams
	if err := peer.DecodeBody(body, &message); err != nil {
		return nil, err
	}
	records := a.decode(message.Records)
	for _, r := range records {
		a.add(r)
	}
	if message.Overtaking {
		return peer.Empty{}, a.overtaking.store(ctx, records)
	}
	a.mu.Lock()
	for _, key := range message.Settled {
		a.bindings.Settle(a.now(), key)
	}
	a.mu.Unlock()
	a.keep(message, records)
	return peer.Empty{}, nil
}

func (a *Agent) encode(records []kernel.BindingRecord) []peer.StreamBinding {
	now := a.now()
	out := make([]peer.StreamBinding, 0, len(records))
	for _, r := range records {
		out = append(out, peer.StreamBinding{Key: r.Key, Binding: r.Binding, Order: r.Order, Settled: r.Settled, RecordedAgo: now.Sub(r.RecordedAt), Left: r.ExpiresAt.Sub(now)})
	}
	return out
}

func (a *Agent) decode(records []peer.StreamBinding) []kernel.BindingRecord {
	now := a.now()
	out := make([]kernel.BindingRecord, 0, len(records))
	for _, r := range records {
		left := min(r.Left, kernel.MaxStreamLife)
		out = append(out, kernel.BindingRecord{Key: r.Key, Binding: r.Binding, Order: r.Order, Settled: r.Settled, RecordedAt: now.Add(-r.RecordedAgo), ExpiresAt: now.Add(left)})
	}
	return out
}

// sweep drops expired records and makes the changes of rows of versions that are due.
func (a *Agent) sweep() {
	a.mu.Lock()
	a.bindings.Sweep(a.now())
	a.mu.Unlock()
	a.sendNeeded()
	a.stored.sweep()
	a.overtaking.sweep()
	a.publishVersions()
}

// findRecord returns the record of a stream if this node has one.
func (a *Agent) findRecord(key kernel.StreamKey) (kernel.Finding, bool) {
	if key == "" {
		return kernel.Finding{}, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	r, ok := a.bindings.Find(now, key)
	if !ok {
		return kernel.Finding{}, false
	}
	return kernel.Finding{Source: kernel.BindingRecorded, Binding: r.Binding, Settled: r.Settled, Order: r.Order, Age: now.Sub(r.RecordedAt)}, true
}

// SetListed sets the versions of the listed endpoints that take work, of pools with resumable streams, as of the time at which
// the list was last proven current.
func (a *Agent) SetListed(provenAt time.Time, listed []kernel.Binding) {
	a.mu.Lock()
	changed := !slices.Equal(a.listed, listed)
	a.listed, a.listProvenAt = listed, provenAt
	a.mu.Unlock()
	if changed {
		a.sendNeeded()
	}
}

// ConfirmListed records that the list was proven current and has not changed.
func (a *Agent) ConfirmListed(provenAt time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.listProvenAt = provenAt
}

// ListedVersions returns the versions of a registry's endpoints that take work, of the pools with resumable streams.
func ListedVersions(table *kernel.RouteTable, registry kernel.Registry) []kernel.Binding {
	var out []kernel.Binding
	for _, pool := range registry.Pools() {
		if !table.HasResumableStreams(pool) {
			continue
		}
		for _, version := range kernel.VersionsOf(registry.Endpoints(pool)) {
			out = append(out, kernel.Binding{Pool: pool, Version: version})
		}
	}
	return out
}
