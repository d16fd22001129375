package kernel

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"basilstall.example/basilstall/model"
)

const (
	// maxPartSuspects bounds the parts of prompts with recorded crashes, some 400 bytes each.
	maxPartSuspects = 4096
	// maxPartCrashes bounds the crashes recorded for one part, maxPoolCrashes those recorded for one pool and
	// maxCrashRequests the requests recorded for one crash.
	maxPartCrashes   = 12
	maxPoolCrashes   = 128
	maxCrashRequests = 128
)

type (
	// CrashReport is what a node knows of the crash of an endpoint and of the requests that it interrupted.
	CrashReport struct {
		Pool  string
		Crash Crash
		// Version is that of the endpoint; empty if it is not known.
		Version  string
		Requests []model.RequestDigests
		// Answers has an entry for each part of the prompts of Requests.
		Answers []PartAnswers
	}

	// PartAnswers is what a node knows of the answers to requests with a part in their prompts.
	PartAnswers struct {
		Part model.Digest
		// Count is the number of requests with the part that were answered lately.
		Count int
		// LastSentAt is when the newest of these was sent to its endpoint; zero if there is none.
		LastSentAt time.Time
	}

	// partSuspects are the parts of prompts that requests at crashes had in common. It changes in place.
	partSuspects struct {
		suspects map[model.Digest]*partSuspect
		// crashes holds the newest crashes of each pool, oldest first.
		crashes map[string][]*poolCrash
		// reports holds, by pool, which reports have not been evaluated yet.
		reports map[string]pendingReports
	}

	// poolCrash is the crash of an endpoint of a pool.
	poolCrash struct {
		Crash
		version  string
		requests map[model.Digest]bool
		// isTrial is true if a request on trial was interrupted.
		isTrial bool
	}

	// partSuspect is a part of prompts that was interrupted by crashes.
	partSuspect struct {
		pool    string
		crashes []partCrash
		// answered is the number of requests with the part that were answered lately, total that of all requests, as far as
		// the nodes know that reported crashes or were asked.
		answered, total int
		// askedAt is when all nodes were asked about the part.
		askedAt time.Time
		// clearedAt is when a request with the part was sent that was answered. Crashes until then do not count.
		clearedAt time.Time
		updatedAt time.Time
	}

	// partCrash is a crash that interrupted requests with a certain part; requests is their number.
	partCrash struct {
		*poolCrash
		requests int
		// request is the digest of one of them.
		request model.Digest
	}

	// pendingReports are crash reports of a pool that have not been evaluated yet; its fields are zero if there are none.
	pendingReports struct {
		since, newest time.Time
	}
)

func newPartSuspects() *partSuspects {
	return &partSuspects{suspects: map[model.Digest]*partSuspect{}, crashes: map[string][]*poolCrash{}, reports: map[string]pendingReports{}}
}

// RecordCrashReport records the parts of prompts that requests at a crash had.
func (q *Quarantine) RecordCrashReport(now time.Time, report CrashReport) {
	p := q.parts
	crash := p.findCrash(report.Pool, report.Crash, report.Version)
	total := 0
	for _, answers := range report.Answers {
		total = max(total, answers.Count)
	}
	updated := map[model.Digest]bool{}
	for _, request := range report.Requests {
		if crash.requests[request.Request] || len(crash.requests) >= maxCrashRequests {
			continue
		}
		crash.requests[request.Request] = true
		crash.isTrial = q.endPartTrial(request) || crash.isTrial
		for _, part := range request.Parts {
			p.suspect(now, report.Pool, part).add(crash, request.Request)
			updated[part] = true
		}
	}
	for _, answers := range report.Answers {
		if s := p.suspects[answers.Part]; s != nil && updated[answers.Part] {
			s.answered += answers.Count
			s.total += total
			s.clear(answers.LastSentAt)
		}
	}
	pending := p.reports[report.Pool]
	if pending.since.IsZero() {
		pending.since = now
	}
	pending.newest = now
	p.reports[report.Pool] = pending
}

// RecordPartAnswers records what all nodes together know of answers to requests with the parts that EvaluateParts asked for
// at askedAt. The parts are evaluated again.
func (q *Quarantine) RecordPartAnswers(now, askedAt time.Time, answers []PartAnswers) {
	total := 0
	for _, a := range answers {
		total = max(total, a.Count)
	}
	for _, a := range answers {
		s := q.parts.suspects[a.Part]
		if s == nil {
			continue
		}
		s.askedAt = askedAt
		s.answered += a.Count
		s.total += total
		s.clear(a.LastSentAt)
		q.parts.reports[s.pool] = pendingReports{since: now.Add(-maxPartEvaluationDelay - StandbyDelay), newest: now}
	}
}

// endPartTrial ends the trial of a part if an interrupted request was it, and reports whether it was.
func (q *Quarantine) endPartTrial(request model.RequestDigests) bool {
	for _, part := range request.Parts {
		for pool, t := range q.trials {
			if t.digest == part && t.request == request.Request {
				delete(q.trials, pool)
				q.held[part].crashedOnTrial = true
				return true
			}
		}
	}
	return false
}

// findCrash returns the record of a crash, which several nodes report.
func (p *partSuspects) findCrash(pool string, crash Crash, version string) *poolCrash {
	for _, known := range p.crashes[pool] {
		if known.same(crash) {
			return known
		}
	}
	added := &poolCrash{Crash: crash, version: version, requests: map[model.Digest]bool{}}
	crashes := append(p.crashes[pool], added)
	p.crashes[pool] = crashes[max(0, len(crashes)-maxPoolCrashes):]
	return added
}

// suspect returns the record of a part, which it adds if necessary.
func (p *partSuspects) suspect(now time.Time, pool string, part model.Digest) *partSuspect {
	s := p.suspects[part]
	if s == nil {
		p.evict()
		s = &partSuspect{pool: pool}
		p.suspects[part] = s
	}
	s.updatedAt = now
	return s
}

// evict drops a quarter of the parts if maxPartSuspects is reached: those with the fewest crashes, and of these the ones
// unchanged for longest.
func (p *partSuspects) evict() {
	if len(p.suspects) < maxPartSuspects {
		return
	}
	parts := slices.SortedFunc(maps.Keys(p.suspects), func(a, b model.Digest) int {
		x, y := p.suspects[a], p.suspects[b]
		return cmp.Or(cmp.Compare(len(x.crashes), len(y.crashes)), x.updatedAt.Compare(y.updatedAt), cmp.Compare(a, b))
	})
	for _, part := range parts[:maxPartSuspects/4] {
		delete(p.suspects, part)
	}
}

// add records that a crash interrupted a request with the part.
func (s *partSuspect) add(crash *poolCrash, request model.Digest) {
	for i := range s.crashes {
		if s.crashes[i].poolCrash == crash {
			s.crashes[i].requests++
			return
		}
	}
	s.crashes = append(s.crashes, partCrash{poolCrash: crash, requests: 1, request: request})
	s.crashes = s.crashes[max(0, len(s.crashes)-maxPartCrashes):]
}

// clear records that a request with the part was answered which was sent at the given time.
func (s *partSuspect) clear(sentAt time.Time) {
	if sentAt.After(s.clearedAt) {
		s.clearedAt = sentAt
	}
}

// counted returns the crashes that count against the part, oldest first.
func (s *partSuspect) counted() []partCrash {
	return slices.DeleteFunc(slices.Clone(s.crashes), func(crash partCrash) bool { return !crash.At.After(s.clearedAt) })
}

// same reports whether two reports are about the same crash.
func (c Crash) same(other Crash) bool {
	return c.Incarnation == other.Incarnation && c.At.Sub(other.At).Abs() < CrashDedupWindow
}

// expire drops what was recorded too long ago.
func (p *partSuspects) expire(now time.Time) {
	for part, s := range p.suspects {
		if now.Sub(s.updatedAt) > crashRetention {
			delete(p.suspects, part)
		}
	}
	for pool, crashes := range p.crashes {
		crashes = slices.DeleteFunc(crashes, func(crash *poolCrash) bool { return now.Sub(crash.At) > crashRetention })
		p.crashes[pool] = crashes
		if len(crashes) == 0 {
			delete(p.crashes, pool)
		}
	}
}
