package kernel

import (
	"slices"
	"time"
)

const (
	// maxReaders is how many nodes of the fleet may be designated to read a store that does not answer: one reads, and one
	// more takes its place where the store turns away only the first.
	maxReaders = 2
	// sourceFanOut is how many nodes of a failure domain follow the same node. It bounds what a node sends, whatever the
	// size of the fleet; a change passes one more node for each power of it.
	sourceFanOut = 4
	// skipDuration is how long a node that knows no more than this one is skipped.
	skipDuration = time.Second
	// probeInterval is the time between two probes of the head of a failure domain while the readers are lost.
	probeInterval = 500 * time.Millisecond
	// maxStartingAnswers bounds the questions to nodes that do not know all tables yet before the next source is asked.
	maxStartingAnswers = 5
	// fresherNodeTTL is how long a node that was found to know more counts as a source: the time in which it sends
	// several requests to this node.
	fresherNodeTTL = 1500 * time.Millisecond
	// readersSubject and followersSubject are what nodes are ordered for by hash.
	readersSubject   = "reader"
	followersSubject = "reader of "
)

type (
	// SourceSelector decides for one node where it gets the contents of the store from: the store itself or another
	// node. The first nodes of the fleet by hash are the designated readers. The first one always reads the store, and
	// each further one does while the store does not answer those before it. All other nodes follow the readers as a
	// tree: in each failure domain the nodes are ordered by hash, the first one asks the readers, and each further one
	// asks the node that comes before it by a power of sourceFanOut, or where that knows nothing newer the one that
	// this one follows, and so on up to the readers, and at last readers-to-be of other failure domains. An unavailable
	// store thus gets few calls, and each node sends little, however many nodes there are. A store that answers some nodes
	// but none of the designated readers is found by probes of the other nodes, on average one in each failure domain for
	// each time that all of them have asked the readers in vain.
	// The methods change it in place and must not be called concurrently.
	SourceSelector struct {
		self, domain string
		// maxAge is the age up to which another node's data is of use.
		maxAge time.Duration
		// skippedUntil holds the time until which each skipped node is not asked.
		skippedUntil map[string]time.Time
		// fresherNode asked this node, which the store does not answer, and had newer data. It is a preferred source
		// until fresherNodeUntil.
		fresherNode      string
		fresherNodeUntil time.Time
		// nodes are the nodes of the last plan. readers are the designated readers among them in the order of their
		// hashes, and ancestors the nodes of the failure domain between this one and the readers, the nearest first.
		nodes     []Peer
		readers   []string
		ancestors []string
		// startingAnswers counts the answers in a row of nodes that do not know all tables yet.
		startingAnswers int
		// substitute is true while a probe has shown that the store answers this node, but not the readers.
		substitute bool
		// readerLostAt is when a reader last said that the store does not answer it, and probedAt when this node last probed
		// the store for that reason.
		readerLostAt time.Time
		probedAt     time.Time
		// probeFailedAt is when the store last did not answer a probe; zero if it has answered since.
		probeFailedAt time.Time
	}

	// SourcePlan says where a node gets the contents of the store from.
	SourcePlan struct {
		// ReadStore is true if the node reads the store itself; Reason is logged when this changes.
		ReadStore bool
		Reason    string
		// Source is the node to ask; empty for none. LongPoll is true if all candidates were asked recently, so that
		// the source may delay its answer until it has something new.
		Source   string
		LongPoll bool
	}

	// SourceAnswer is the outcome of a request to another node for its contents of the store.
	SourceAnswer struct {
		// Failed is true if no answer arrived, TimedOut if it did not arrive completely in time.
		Failed   bool
		TimedOut bool
		// StoreLost is true if the store does not answer the other node. Age is the greatest age of its tables: the
		// time since each was last proven current.
		StoreLost bool
		Age       time.Duration
		// Starting is true if the node answered but does not know all tables yet.
		Starting bool
	}
)

// NewSourceSelector returns the selector of the node self in a failure domain. Data of other nodes that is older than
// maxAge is of no use.
func NewSourceSelector(self, domain string, maxAge time.Duration) *SourceSelector {
	return &SourceSelector{self: self, domain: domain, maxAge: maxAge, skippedUntil: map[string]time.Time{}}
}

// Plan returns where to get the contents of the store from. nodes are the reachable nodes, this one among them;
// storeLost tells that this node reads the store and gets no answer.
func (s *SourceSelector) Plan(now time.Time, nodes []Peer, storeLost bool) SourcePlan {
	s.setNodes(nodes)
	rank := slices.Index(s.readers, s.self)
	if storeLost {
		s.substitute = false
	}
	others := slices.DeleteFunc(slices.Clone(s.readers), func(name string) bool { return name == s.self })
	available := s.withoutSkipped(now, others)
	switch {
	case rank >= 0 && !slices.ContainsFunc(s.readers[:rank], func(name string) bool { return !s.isSkipped(now, name) }):
		plan := SourcePlan{ReadStore: true, Reason: "this node reads for the fleet"}
		if storeLost {
			plan.Source = firstOf(s.fresherNodes(now), available)
			return s.withFallback(now, plan, nodes, others)
		}
		return plan
	case s.substitute:
		return SourcePlan{ReadStore: true, Reason: "the store does not answer the readers", Source: firstOf(available)}
	case rank >= 0:
		plan := s.withFallback(now, SourcePlan{Source: firstOf(available)}, nodes, others)
		plan.Reason = plan.Source + " reads for this node"
		return plan
	default:
		plan := s.withFallback(now, SourcePlan{Source: firstOf(s.withoutSkipped(now, s.ancestors), available)}, nodes, others)
		plan.Reason = plan.Source + " reads for this node"
		return plan
	}
}

// setNodes sets the nodes and, if they have changed, who reads the store and whom this node follows.
func (s *SourceSelector) setNodes(nodes []Peer) {
	if samePeers(s.nodes, nodes) {
		return
	}
	s.nodes = nodes
	s.readers = designatedReaders(readersSubject, nodes)
	s.ancestors = nil
	// The first reader follows nobody, so that it has only readers and the heads of failure domains to answer.
	domainNodes := slices.DeleteFunc(slices.Clone(nodes), func(n Peer) bool { return n.Domain != s.domain || n.Name == firstOf(s.readers) })
	// A node that started again may be listed twice.
	order := slices.Compact(NodesByHash(followersSubject+s.domain, domainNodes))
	for i := slices.Index(order, s.self); i > 0; {
		i = (i - 1) / sourceFanOut
		s.ancestors = append(s.ancestors, order[i])
	}
}

// withoutSkipped returns the names that are not skipped now.
func (s *SourceSelector) withoutSkipped(now time.Time, names []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return s.isSkipped(now, name) })
}

// withFallback returns the plan with a source: where it has none, a reader of another failure domain, or else the
// first of others with a long poll.
func (s *SourceSelector) withFallback(now time.Time, p SourcePlan, nodes []Peer, others []string) SourcePlan {
	if p.Source == "" {
		p.Source = firstOf(s.remoteReaders(now, nodes))
	}
	if p.Source == "" && len(others) > 0 {
		p.Source, p.LongPoll = others[0], true
	}
	return p
}

// RecordAnswer records the outcome of a request to a node and reports whether its answer suffices. A recent answer suffices
// even if the store does not answer that node, with two exceptions: the node is a reader and this node is another one or the
// head of its failure domain, or the node is an ancestor of this one. This node then asks the next source, probes the store or
// reads it. The answer of a node that is itself starting, and that the store answers, suffices for maxStartingAnswers answers:
// after a simultaneous start the tables pass from node to node, and the readers must not be asked for them by all.
func (s *SourceSelector) RecordAnswer(now time.Time, source string, a SourceAnswer) bool {
	if a.Failed {
		return false
	}
	if a.Starting && !a.StoreLost && s.startingAnswers < maxStartingAnswers {
		s.startingAnswers++
		return true
	}
	s.startingAnswers = 0
	readerLost := a.StoreLost && slices.Contains(s.readers, source)
	if readerLost {
		s.readerLostAt = now
	}
	takesOver := readerLost && (slices.Contains(s.readers, s.self) || s.isHead()) || a.StoreLost && slices.Contains(s.ancestors, source)
	if a.Starting || a.TimedOut || a.Age > s.maxAge || takesOver {
		s.skippedUntil[source] = now.Add(skipDuration)
		return false
	}
	if !a.StoreLost {
		s.substitute = false
	}
	return true
}

// RecordFresherNode records that a node that asked this one has data that was proven current more recently. It is a
// source while the store does not answer this node.
func (s *SourceSelector) RecordFresherNode(now time.Time, node string) {
	s.fresherNode, s.fresherNodeUntil = node, now.Add(fresherNodeTTL)
}

// isHead reports whether this node asks the readers for its failure domain.
func (s *SourceSelector) isHead() bool {
	return len(s.ancestors) == 0
}

// ShouldProbeForReader reports whether the head of a failure domain asks the store once by itself, because a reader has just
// said that the store does not answer it. All heads do so at the same time as the next reader: whoever of them the store
// answers, the fleet knows one that it does within a round trip, and soon whether it answers nobody.
func (s *SourceSelector) ShouldProbeForReader(now time.Time) bool {
	if !s.isHead() || s.substitute || slices.Contains(s.readers, s.self) || s.readerLostAt.IsZero() || now.Sub(s.readerLostAt) > skipDuration || now.Sub(s.probedAt) < probeInterval {
		return false
	}
	s.probedAt = now
	return true
}

// ShouldProbeStore reports whether a node that got no sufficient answer from any source asks the store once by itself.
// The draw is uniform in [0, 1): on average one node of a failure domain, of those that are not designated readers,
// probes the store each time that all of them have asked in vain.
func (s *SourceSelector) ShouldProbeStore(nodes []Peer, draw float64) bool {
	domainNodes := 0
	for _, n := range nodes {
		if n.Domain == s.domain {
			domainNodes++
		}
	}
	return draw*float64(max(1, domainNodes-maxReaders)) < 1
}

// RecordProbe records whether the store answered the probe.
func (s *SourceSelector) RecordProbe(now time.Time, answered bool) {
	s.substitute = answered
	s.probeFailedAt = time.Time{}
	if !answered {
		s.probeFailedAt = now
	}
}

// ProbeFailed reports whether the store has lately not answered a probe of this node, whose readers are lost.
func (s *SourceSelector) ProbeFailed(now time.Time) bool {
	return !s.probeFailedAt.IsZero() && now.Sub(s.probeFailedAt) <= skipDuration && now.Sub(s.readerLostAt) <= skipDuration
}

func (s *SourceSelector) isSkipped(now time.Time, name string) bool {
	until, known := s.skippedUntil[name]
	if known && !now.Before(until) {
		delete(s.skippedUntil, name)
		return false
	}
	return known
}

// fresherNodes returns the fresher node if it is still a source.
func (s *SourceSelector) fresherNodes(now time.Time) []string {
	if s.fresherNode == "" || now.After(s.fresherNodeUntil) || s.isSkipped(now, s.fresherNode) {
		return nil
	}
	return []string{s.fresherNode}
}

// remoteReaders returns the first nodes of other failure domains that are not skipped.
func (s *SourceSelector) remoteReaders(now time.Time, nodes []Peer) []string {
	byDomain := map[string][]Peer{}
	for _, n := range nodes {
		if n.Domain != s.domain {
			byDomain[n.Domain] = append(byDomain[n.Domain], n)
		}
	}
	var remote []Peer
	for domain, peers := range byDomain {
		for _, name := range designatedReaders(followersSubject+domain, peers) {
			if !s.isSkipped(now, name) {
				remote = append(remote, Peer{Name: name})
			}
		}
	}
	return NodesByHash("reader beyond "+s.domain, remote)
}

// designatedReaders returns the first nodes by their hashes for a subject.
func designatedReaders(subject string, nodes []Peer) []string {
	// A node that started again may be listed twice.
	order := slices.Compact(NodesByHash(subject, nodes))
	return order[:min(maxReaders, len(order))]
}

// firstOf returns the first name of the first list that is not empty, or "" if all are empty.
func firstOf(lists ...[]string) string {
	for _, list := range lists {
		if len(list) > 0 {
			return list[0]
		}
	}
	return ""
}

// ReadWait returns how long the store may wait before it answers a request for changes of a table that was last proven current
// at provenAt: until the proof is maxWait old. An answer with changes proves the table current only as of the request, since
// they may have been made at any time of the wait; after a whole further wait the proof would be twice as old.
func ReadWait(now, provenAt time.Time, maxWait time.Duration) time.Duration {
	return min(maxWait, max(0, maxWait-now.Sub(provenAt)))
}
