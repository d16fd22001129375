package kernel

import (
	"slices"
	"time"
)

const (
	// maxReaders is how many nodes of a failure domain may be bound to ask a store that does not answer: one
	// reads, and one more takes its place where the store turns away the first alone.
	maxReaders = 2
	// skipDuration is how long a node that knows no more than this one is passed over.
	skipDuration = time.Second
	// fresherNodeTTL is how long a node counts that was heard to know more: some of its questions.
	fresherNodeTTL = 1500 * time.Millisecond
)

type (
	// Reading decides for one node how it comes to know what the store holds: by asking the store itself, or
	// another node. In each failure domain the first nodes by hash are bound to ask the store, the first one
	// always and the next ones while the store does not answer those before; the others ask them, and where
	// these know nothing those of other failure domains. So a store that is away is asked by few, however
	// many nodes there are. A store that answers some nodes and not those that are to ask is found by tries
	// of the others, one in each round of a failure domain. It changes in place.
	SourceSelector struct {
		self, domain string
		// maxAge is how old another node's proof may be to be worth having.
		maxAge time.Duration
		// away holds until when nodes are passed over.
		skippedUntil map[string]time.Time
		// helper was heard to know more than this node, which the store does not answer; it counts until
		// fresherNodeUntil.
		fresherNode      string
		fresherNodeUntil time.Time
		// bound holds the nodes of the failure domain that are to ask the store, the first one first.
		readers []string
		// substitute is true for a node that found by a try that the store answers it, and not those that are to
		// ask.
		substitute bool
	}

	// SourcePlan is what a node is to do.
	SourcePlan struct {
		// Reads is true where it asks the store itself; Why says why or why not.
		ReadStore bool
		Reason    string
		// Source is the node to ask; empty for none. Waits tells that all were asked lately, so that its answer
		// may wait for news.
		Source   string
		LongPoll bool
	}

	// SourceAnswer is what came of a question to another node.
	SourceAnswer struct {
		// Failed is true where no answer came, Slow where it did not come whole in time.
		Failed   bool
		TimedOut bool
		// Lost is true where the store does not answer the other node. Age is the greatest of its proofs.
		StoreLost bool
		Age       time.Duration
	}
)

// NewSourceSelector returns the decisions of a node in a failure domain.
func NewSourceSelector(self, domain string, mostAge time.Duration) *SourceSelector {
	return &SourceSelector{self: self, domain: domain, maxAge: mostAge, skippedUntil: map[string]time.Time{}}
}

// Plan returns what to do next, by the nodes that are reachable, this one among them, and whether this node asks
// the store in vain (lost).
func (r *SourceSelector) Plan(now time.Time, nodes []Peer, lost bool) SourcePlan {
	r.readers = designatedReaders(r.domain, nodes)
	place := slices.Index(r.readers, r.self)
	if lost {
		r.substitute = false
	}
	others := slices.DeleteFunc(slices.Clone(r.readers), func(name string) bool { return name == r.self })
	present := slices.DeleteFunc(slices.Clone(others), func(name string) bool { return r.isSkipped(now, name) })
	switch {
	case place >= 0 && !slices.ContainsFunc(r.readers[:place], func(name string) bool { return !r.isSkipped(now, name) }):
		plan := SourcePlan{ReadStore: true, Reason: "this node reads for its failure domain"}
		if lost {
			plan.Source = firstOf(r.fresherNodes(now), present)
			return r.withFallback(now, plan, nodes, others)
		}
		return plan
	case r.substitute:
		return SourcePlan{ReadStore: true, Reason: "the store does not answer the readers", Source: firstOf(present)}
	default:
		plan := r.withFallback(now, SourcePlan{Source: firstOf(present)}, nodes, others)
		plan.Reason = plan.Source + " reads for this node"
		return plan
	}
}

// elsewhere gives a plan without a source one of another failure domain, or has it wait for the first of several
// nodes.
func (r *SourceSelector) withFallback(now time.Time, p SourcePlan, nodes []Peer, others []string) SourcePlan {
	if p.Source == "" {
		p.Source = firstOf(r.remoteReaders(now, nodes))
	}
	if p.Source == "" && len(others) > 0 {
		p.Source, p.LongPoll = others[0], true
	}
	return p
}

// Took takes in what came of a question, and tells whether that node's word is enough. The word of a node that the
// store does not answer is, while it is young, but for one that is to ask the store in its place.
func (r *SourceSelector) RecordAnswer(now time.Time, source string, a SourceAnswer) bool {
	if a.Failed {
		return false
	}
	relieved := a.StoreLost && slices.Contains(r.readers, r.self) && slices.Contains(r.readers, source)
	if a.TimedOut || a.Age > r.maxAge || relieved {
		r.skippedUntil[source] = now.Add(skipDuration)
		return false
	}
	if !a.StoreLost {
		r.substitute = false
	}
	return true
}

// Heard takes in that a node that asks this one has a younger proof, which tells where to ask while the store
// does not answer this node.
func (r *SourceSelector) RecordFresherNode(now time.Time, node string) {
	r.fresherNode, r.fresherNodeUntil = node, now.Add(fresherNodeTTL)
}

// ShouldProbeStore decides whether a node that none of its sources could tell anything asks the store once by itself. The
// draw is between 0 and 1: of those of a failure domain that are not bound to ask, one does in each round.
func (r *SourceSelector) ShouldProbeStore(nodes []Peer, draw float64) bool {
	near := 0
	for _, n := range nodes {
		if n.Domain == r.domain {
			near++
		}
	}
	return draw*float64(max(1, near-maxReaders)) < 1
}

// Tried takes in whether the store answered the try.
func (r *SourceSelector) RecordProbe(answered bool) {
	r.substitute = answered
}

func (r *SourceSelector) isSkipped(now time.Time, name string) bool {
	until, known := r.skippedUntil[name]
	if known && !now.Before(until) {
		delete(r.skippedUntil, name)
		return false
	}
	return known
}

func (r *SourceSelector) fresherNodes(now time.Time) []string {
	if r.fresherNode == "" || now.After(r.fresherNodeUntil) || r.isSkipped(now, r.fresherNode) {
		return nil
	}
	return []string{r.fresherNode}
}

// beyond returns the nodes of other failure domains that are to ask the store and are not away.
func (r *SourceSelector) remoteReaders(now time.Time, nodes []Peer) []string {
	byDomain := map[string][]Peer{}
	for _, n := range nodes {
		if n.Domain != r.domain {
			byDomain[n.Domain] = append(byDomain[n.Domain], n)
		}
	}
	var far []Peer
	for domain, peers := range byDomain {
		for _, name := range designatedReaders(domain, peers) {
			if !r.isSkipped(now, name) {
				far = append(far, Peer{Name: name})
			}
		}
	}
	return NodesByHash("reader beyond "+r.domain, far)
}

// designatedReaders returns the nodes of a failure domain that are bound to ask the store, the first one first.
func designatedReaders(domain string, nodes []Peer) []string {
	var near []Peer
	for _, n := range nodes {
		if n.Domain == domain {
			near = append(near, n)
		}
	}
	// A node that started again may be known twice.
	order := slices.Compact(NodesByHash("reader of "+domain, near))
	return order[:min(maxReaders, len(order))]
}

// first returns the first name of several lists; empty for none.
func firstOf(lists ...[]string) string {
	for _, list := range lists {
		if len(list) > 0 {
			return list[0]
		}
	}
	return ""
}

// CallTimeout returns how long the next answer of a reader is waited for while it comes, after one that did or did not
// come whole in time. The usual time is the greatest age of a useful proof: then another node is asked, since this one
// may be cut off from all else. It doubles up to a most, so that an answer that outgrows its link comes whole
// in the end.
func CallTimeout(before, usual, most time.Duration, inTime bool) time.Duration {
	if inTime || before <= 0 {
		return usual
	}
	return min(2*before, most)
}
