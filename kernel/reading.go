package kernel

import (
	"slices"
	"time"
)

const (
	// maxReaders is how many nodes of a failure domain may be designated to read a store that does not answer: one
	// reads, and one more takes its place where the store turns away only the first.
	maxReaders = 2
	// skipDuration is how long a node that knows no more than this one is skipped.
	skipDuration = time.Second
	// fresherNodeTTL is how long a node that was found to know more counts as a source: the time in which it sends
	// several requests to this node.
	fresherNodeTTL = 1500 * time.Millisecond
)

type (
	// SourceSelector decides for one node where it gets the contents of the store from: the store itself or another
	// node. In each failure domain the first nodes by hash are the designated readers. The first one always reads the
	// store, and each further one does while the store does not answer those before it. All other nodes ask the
	// readers of their failure domain and, where these know nothing newer, those of other failure domains. An
	// unavailable store thus gets few calls, however many nodes there are. A store that answers some nodes but none
	// of the designated readers is found by probes of the other nodes, on average one in each failure domain for each
	// time that all of them have asked the readers in vain.
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
		// readers are the designated readers of the failure domain in the order of their hashes.
		readers []string
		// substitute is true while a probe has shown that the store answers this node, but not the readers.
		substitute bool
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
	s.readers = designatedReaders(s.domain, nodes)
	rank := slices.Index(s.readers, s.self)
	if storeLost {
		s.substitute = false
	}
	others := slices.DeleteFunc(slices.Clone(s.readers), func(name string) bool { return name == s.self })
	available := slices.DeleteFunc(slices.Clone(others), func(name string) bool { return s.isSkipped(now, name) })
	switch {
	case rank >= 0 && !slices.ContainsFunc(s.readers[:rank], func(name string) bool { return !s.isSkipped(now, name) }):
		plan := SourcePlan{ReadStore: true, Reason: "this node reads for its failure domain"}
		if storeLost {
			plan.Source = firstOf(s.fresherNodes(now), available)
			return s.withFallback(now, plan, nodes, others)
		}
		return plan
	case s.substitute:
		return SourcePlan{ReadStore: true, Reason: "the store does not answer the readers", Source: firstOf(available)}
	default:
		plan := s.withFallback(now, SourcePlan{Source: firstOf(available)}, nodes, others)
		plan.Reason = plan.Source + " reads for this node"
		return plan
	}
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

// RecordAnswer records the outcome of a request to a node and reports whether its answer suffices. A recent answer
// suffices even if the store does not answer that node, unless both nodes are designated readers: then this one has to
// read the store in its place.
func (s *SourceSelector) RecordAnswer(now time.Time, source string, a SourceAnswer) bool {
	if a.Failed {
		return false
	}
	takesOver := a.StoreLost && slices.Contains(s.readers, s.self) && slices.Contains(s.readers, source)
	if a.TimedOut || a.Age > s.maxAge || takesOver {
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
func (s *SourceSelector) RecordProbe(answered bool) {
	s.substitute = answered
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

// remoteReaders returns the designated readers of other failure domains that are not skipped.
func (s *SourceSelector) remoteReaders(now time.Time, nodes []Peer) []string {
	byDomain := map[string][]Peer{}
	for _, n := range nodes {
		if n.Domain != s.domain {
			byDomain[n.Domain] = append(byDomain[n.Domain], n)
		}
	}
	var remote []Peer
	for domain, peers := range byDomain {
		for _, name := range designatedReaders(domain, peers) {
			if !s.isSkipped(now, name) {
				remote = append(remote, Peer{Name: name})
			}
		}
	}
	return NodesByHash("reader beyond "+s.domain, remote)
}

// designatedReaders returns the nodes of a failure domain that are to read the store, in the order of their hashes.
func designatedReaders(domain string, nodes []Peer) []string {
	var domainNodes []Peer
	for _, n := range nodes {
		if n.Domain == domain {
			domainNodes = append(domainNodes, n)
		}
	}
	// A node that started again may be listed twice.
	order := slices.Compact(NodesByHash("reader of "+domain, domainNodes))
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

// CallTimeout returns how long to wait for the next answer of a reader, given the previous timeout and whether the
// previous answer arrived completely in time. The base is the greatest age at which data is of use: after it another
// node is asked, since this one may be cut off from all others. The timeout doubles up to the limit, so that an answer
// that is too large for its link at first arrives completely in the end.
func CallTimeout(previous, base, limit time.Duration, inTime bool) time.Duration {
	if inTime || previous <= 0 {
		return base
	}
	return min(2*previous, limit)
}
