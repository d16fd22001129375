package kernel

import (
	"slices"
	"time"
)

const (
	// nodesPerRegistrar is how many nodes send their bindings to one registrar, which stores them for all of them.
	nodesPerRegistrar = 20
	// minBindingFlush is the minimum interval between the messages of a node to its registrars. With more nodes a registrar, it
	// grows so that a registrar receives at most registrarMessages a second.
	minBindingFlush   = 50 * time.Millisecond
	registrarMessages = 200
	// bindingBurst is how many messages a node may send to its registrars at once before the interval applies: an event may follow soon
	// after its stream began.
	bindingBurst = 10
	// minBindingStoreFlush is the minimum interval between the writes of a registrar to the store. With more registrars it grows
	// so that all of them together make at most registrarWrites a second.
	minBindingStoreFlush = 250 * time.Millisecond
	registrarWrites      = 80
	// overtakingBurst is how many writes of records that overtake others a registrar may make at once: first events wait for them.
	overtakingBurst = 4
)

// Pacer decides when the next of a series of messages may be sent: at most a burst at once, and one an interval on average. It
// is immutable.
type Pacer struct {
	// burst is the number of messages of a burst, at least 1.
	burst int
	// filledAt is when the messages so far would have been sent at one an interval.
	filledAt time.Time
}

// NewRegistrarPacer returns the pacer of the messages to registrars.
func NewRegistrarPacer() Pacer {
	return Pacer{burst: bindingBurst}
}

// NewStorePacer returns the pacer of the writes of a registrar.
func NewStorePacer() Pacer {
	return Pacer{burst: 1}
}

// NewOvertakingPacer returns the pacer of the writes of records that overtake others.
func NewOvertakingPacer() Pacer {
	return Pacer{burst: overtakingBurst}
}

// With returns the pacer after a message, and the time until the next one may be sent.
func (p Pacer) With(now time.Time, interval time.Duration) (after Pacer, wait time.Duration) {
	if p.filledAt.Before(now) {
		p.filledAt = now
	}
	p.filledAt = p.filledAt.Add(interval)
	return p, max(0, p.filledAt.Sub(now)-time.Duration(p.burst-1)*interval)
}

// Registrars are the nodes that keep what streams are bound to, for all nodes. Each node sends its bindings to two of them, one
// of which also writes them to the store.
type Registrars struct {
	primary, secondary []Peer
	nodes              int
}

// NewRegistrars returns the registrars of a fleet: the first nodes by hash.
func NewRegistrars(nodes []Peer) Registrars {
	byName := make(map[string]Peer, len(nodes))
	for _, n := range nodes {
		byName[n.Name] = n
	}
	count := (len(nodes) + nodesPerRegistrar - 1) / nodesPerRegistrar
	k := Registrars{nodes: len(nodes)}
	for i, name := range NodesByHash("stream bindings", nodes) {
		switch {
		case i < count:
			k.primary = append(k.primary, byName[name])
		case i < 2*count:
			k.secondary = append(k.secondary, byName[name])
		}
	}
	return k
}

// Of returns the registrars of the bindings of a node: the one that stores them, and one more, in another failure domain if
// there is one. Each is empty if there is none.
func (k Registrars) Of(node string) (primary, secondary string) {
	if len(k.primary) == 0 {
		return "", ""
	}
	primary = NodesByHash(node, k.primary)[0]
	domain := k.primary[slices.IndexFunc(k.primary, func(p Peer) bool { return p.Name == primary })].Domain
	ranked := NodesByHash(node, k.secondary)
	for _, name := range ranked {
		if k.secondary[slices.IndexFunc(k.secondary, func(p Peer) bool { return p.Name == name })].Domain != domain {
			return primary, name
		}
	}
	if len(ranked) > 0 {
		return primary, ranked[0]
	}
	return primary, ""
}

// All returns the names of all registrars, those that write to the store first.
func (k Registrars) All() []string {
	out := make([]string, 0, len(k.primary)+len(k.secondary))
	for _, p := range slices.Concat(k.primary, k.secondary) {
		out = append(out, p.Name)
	}
	return out
}

// Resolvers returns the names of the registrars that look into the store for a subject, in the order in which they are asked.
func (k Registrars) Resolvers(subject string) []string {
	return NodesByHash(subject, k.primary)
}

// FlushInterval returns the minimum interval between the messages of a node to its registrars.
func (k Registrars) FlushInterval() time.Duration {
	senders := float64(k.nodes) / float64(max(1, len(k.primary)))
	return max(minBindingFlush, time.Duration(senders/registrarMessages*float64(time.Second)))
}

// StoreFlushInterval returns the minimum interval between the writes of a registrar to the store.
func (k Registrars) StoreFlushInterval() time.Duration {
	return max(minBindingStoreFlush, time.Duration(float64(len(k.primary))/registrarWrites*float64(time.Second)))
}
