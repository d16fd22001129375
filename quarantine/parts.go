package quarantine

import (
	"slices"
	"time"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/peer"
)

// maxReportedParts bounds the distinct parts of prompts in a report on a crash.
const maxReportedParts = 512

// newCrashReport returns the report on a crash, with what this node knows of the answers to requests with the same parts.
func (a *Agent) newCrashReport(e model.Endpoint, crash kernel.Crash, requests []model.RequestDigests) kernel.CrashReport {
	report := kernel.CrashReport{Pool: e.Pool, Crash: crash, Version: e.Version}
	limit := max(1, maxReportedParts/len(requests))
	a.mu.Lock()
	defer a.mu.Unlock()
	known := map[model.Digest]bool{}
	for _, request := range requests {
		if len(request.Parts) > limit && len(known)+len(request.Parts) > maxReportedParts {
			request.Parts = request.Parts[:limit]
			a.metrics.CountEvent("CrashReportPartsDropped")
		}
		report.Requests = append(report.Requests, request)
		for _, part := range request.Parts {
			if !known[part] {
				known[part] = true
				report.Answers = append(report.Answers, a.quarantine.PartAnswers(part))
			}
		}
	}
	return report
}

func encodeCrash(now time.Time, report kernel.CrashReport, coordinatorLost bool) peer.Crash {
	m := peer.Crash{Pool: report.Pool, Incarnation: report.Crash.Incarnation, EndedAgo: now.Sub(report.Crash.At), Version: report.Version, CoordinatorLost: coordinatorLost}
	index := map[model.Digest]int{}
	for i, answers := range report.Answers {
		index[answers.Part] = i
		m.Parts = append(m.Parts, answers.Part)
	}
	m.Answered, m.AnsweredSentAgo = encodeAnswers(now, report.Answers)
	for _, request := range report.Requests {
		m.Digests = append(m.Digests, request.Request)
		var parts []int
		for _, part := range request.Parts {
			parts = append(parts, index[part])
		}
		m.PartsOf = append(m.PartsOf, parts)
	}
	return m
}

// decodeCrash decodes a report. One of a node of an older build has no parts.
func decodeCrash(now time.Time, m peer.Crash) kernel.CrashReport {
	report := kernel.CrashReport{Pool: m.Pool, Crash: kernel.Crash{Incarnation: m.Incarnation, At: now.Add(-m.EndedAgo)}, Version: m.Version}
	for i, digest := range m.Digests {
		request := model.RequestDigests{Request: digest}
		if i < len(m.PartsOf) {
			for _, index := range m.PartsOf[i] {
				if index >= 0 && index < len(m.Parts) {
					request.Parts = append(request.Parts, m.Parts[index])
				}
			}
		}
		report.Requests = append(report.Requests, request)
	}
	report.Answers = decodeAnswers(now, m.Parts, m.Answered, m.AnsweredSentAgo)
	return report
}

// schedulePartEvaluation evaluates the parts of prompts once most reports on the same crash have arrived, once more in
// case the coordinator does not, and after the time that running requests have to be answered.
func (a *Agent) schedulePartEvaluation() {
	const margin = kernel.PartEvaluationDelay / 10
	for _, delay := range []time.Duration{0, kernel.StandbyDelay, kernel.SettleTime} {
		time.AfterFunc(delay+kernel.PartEvaluationDelay+margin, a.evaluateParts)
	}
}

// evaluateParts decides on the parts of prompts, and informs all nodes of the decision.
func (a *Agent) evaluateParts() {
	if a.ctx.Err() != nil {
		return
	}
	a.mu.Lock()
	ranks := map[string]int{}
	rank := func(pool string) int {
		if _, known := ranks[pool]; !known {
			ranks[pool] = slices.Index(a.coordinators(pool), a.name)
			if ranks[pool] > 0 {
				a.notFirstAt[pool] = a.now()
			}
		}
		return ranks[pool]
	}
	change, ask := a.quarantine.EvaluateParts(a.now(),
		func(pool string) bool { return rank(pool) == 0 || a.now().Before(a.actingUntil[pool]) },
		func(pool string) bool { return rank(pool) > 0 && rank(pool) < coordinatorsPerPool })
	asks := len(ask) > 0 && !a.asking
	a.asking = a.asking || asks
	a.mu.Unlock()
	if asks {
		go a.askAll(ask)
	}
	if len(change.Hold) == 0 {
		return
	}
	a.spread(change)
	a.ApplyChange(change)
	a.persist(change)
}
