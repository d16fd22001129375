package quarantine

import (
	"context"
	"math"
	"slices"
	"time"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/peer"
)

const (
	// askTimeout bounds the question to all nodes, memberAskTimeout that to a node of a group. What a node that does not
	// answer in time knows is missing: it informs the coordinator once it learns of the hold.
	askTimeout       = 120 * time.Millisecond
	memberAskTimeout = 60 * time.Millisecond
)

// askAll asks all nodes about answers to requests with certain parts, and evaluates the parts again.
func (a *Agent) askAll(parts []model.Digest) {
	askedAt := a.now()
	a.metrics.CountEvent("QuarantineAsked")
	answers := a.ownAnswers(parts)
	others := a.otherNodes()
	groupSize := len(others)
	if groupSize > directSpread {
		groupSize = int(math.Ceil(math.Sqrt(float64(groupSize))))
	} else {
		groupSize = 1
	}
	replies := make(chan []kernel.PartAnswers)
	groups := 0
	for group := range slices.Chunk(others, groupSize) {
		groups++
		go func() { replies <- a.ask(askTimeout, group[0], parts, group[1:]) }()
	}
	for range groups {
		answers = mergeAnswers(answers, <-replies)
	}
	a.mu.Lock()
	a.asking = false
	a.quarantine.RecordPartAnswers(a.now(), askedAt, answers)
	a.mu.Unlock()
	a.evaluateParts()
}

// ask asks a node, and others through it, about answers to requests with certain parts. It returns nil if there is no
// answer in time.
func (a *Agent) ask(timeout time.Duration, node string, parts []model.Digest, passOn []string) []kernel.PartAnswers {
	ctx, cancel := context.WithTimeout(a.ctx, timeout)
	defer cancel()
	var reply peer.AskPartsReply
	if err := a.deps.Call(ctx, node, peer.KindAskParts, peer.AskParts{Parts: parts, PassOn: passOn}, &reply); err != nil {
		return nil
	}
	return decodeAnswers(a.now(), parts, reply.Answered, reply.AnsweredSentAgo)
}

// handleAskParts answers for this node and for those to which the question is passed on.
func (a *Agent) handleAskParts(_ context.Context, body []byte) (any, error) {
	var m peer.AskParts
	if err := peer.DecodeBody(body, &m); err != nil {
		return nil, err
	}
	answers := a.ownAnswers(m.Parts)
	replies := make(chan []kernel.PartAnswers)
	for _, node := range m.PassOn {
		go func() { replies <- a.ask(memberAskTimeout, node, m.Parts, nil) }()
	}
	for range m.PassOn {
		answers = mergeAnswers(answers, <-replies)
	}
	var reply peer.AskPartsReply
	reply.Answered, reply.AnsweredSentAgo = encodeAnswers(a.now(), answers)
	return reply, nil
}

// ownAnswers returns what this node knows of answers to requests with the parts, in their order.
func (a *Agent) ownAnswers(parts []model.Digest) []kernel.PartAnswers {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []kernel.PartAnswers
	for _, part := range parts {
		out = append(out, a.quarantine.PartAnswers(part))
	}
	return out
}

// mergeAnswers returns what two nodes know together of the same parts.
func mergeAnswers(a, b []kernel.PartAnswers) []kernel.PartAnswers {
	if len(a) != len(b) {
		return a
	}
	out := slices.Clone(a)
	for i := range out {
		out[i].Count += b[i].Count
		if b[i].LastSentAt.After(out[i].LastSentAt) {
			out[i].LastSentAt = b[i].LastSentAt
		}
	}
	return out
}

func encodeAnswers(now time.Time, answers []kernel.PartAnswers) (counts []int, sentAgo []time.Duration) {
	for _, a := range answers {
		ago := time.Duration(-1)
		if !a.LastSentAt.IsZero() {
			ago = now.Sub(a.LastSentAt)
		}
		counts = append(counts, a.Count)
		sentAgo = append(sentAgo, ago)
	}
	return counts, sentAgo
}

// decodeAnswers decodes answers about parts, or returns nil if their number is wrong.
func decodeAnswers(now time.Time, parts []model.Digest, counts []int, sentAgo []time.Duration) []kernel.PartAnswers {
	if len(counts) != len(parts) || len(sentAgo) != len(parts) {
		return nil
	}
	var out []kernel.PartAnswers
	for i, part := range parts {
		answers := kernel.PartAnswers{Part: part, Count: counts[i]}
		if sentAgo[i] >= 0 {
			answers.LastSentAt = now.Add(-sentAgo[i])
		}
		out = append(out, answers)
	}
	return out
}
