package placement

import (
	"time"

	"basilstall.example/basilstall/model"
)

// ReportKind is what a node reports of a placed request.
type ReportKind uint8

// The kinds of reports. Their values are sent to other nodes.
const (
	// Sent means that the request was sent to another engine than the first one of its placement.
	Sent ReportKind = iota + 1
	// FirstEvent means that the engine has sent the first event.
	FirstEvent
	// Ended means that the stream has ended after its first event.
	Ended
	// Failed means that the attempt has ended without a first event, or was not made.
	Failed
	// Held means that the request was sent to the engine lately, on another placer's choice or without one, so that the
	// engine has probably cached its prompt.
	Held
)

// maxContention is the greatest contention that counts, as that of an engine itself.
const maxContention = 1000

// Report tells what became of a placed request.
type Report struct {
	ID   RequestID
	Kind ReportKind
	// Incarnation is the engine that the request was sent to; empty if it was not sent.
	Incarnation string
	// Elapsed is the time from the sending of the request to its first event.
	Elapsed time.Duration
	// Load is the load that the engine reported with its answer, LoadAgo the time since then; nil if it reported none.
	Load    *model.Load
	LoadAgo time.Duration
	// Parts are those of the prompt; only in reports of the kind Held.
	Parts []Part
}

// Apply applies a report that was received at a time.
func (t *Table) Apply(now time.Time, r Report) {
	e := t.byIncarnation[r.Incarnation]
	if e != nil && r.Load != nil && isPlausible(*r.Load) {
		e.recordLoad(now.Add(-min(max(r.LoadAgo, 0), loadTTL)), *r.Load)
	}
	if e != nil && r.Parts != nil {
		_, parts := bounded(t.capacity, r.Parts, t.capacity)
		e.cache.use(now, parts)
	}
	placed := t.entries[r.ID]
	if placed == nil {
		return
	}
	switch r.Kind {
	case Sent:
		t.move(now, r.ID, placed, e)
	case FirstEvent:
		t.recordFirstEvent(now, placed, r.Elapsed)
	case Ended:
		t.streamTime += time.Duration(streamTimeGain * float64(now.Sub(placed.placedAt)-t.streamTime))
		t.remove(r.ID)
	case Failed:
		for _, key := range placed.added {
			placed.engine.cache.remove(key)
		}
		t.remove(r.ID)
	}
}

// isPlausible reports whether a load that another node passes on can be that of an engine.
func isPlausible(load model.Load) bool {
	return load.Running >= 0 && load.Queued >= 0 && load.Slots >= 0 && load.Contention >= 0 && load.Contention <= maxContention
}

// recordLoad records the load that the engine reported at a time.
func (e *engine) recordLoad(at time.Time, load model.Load) {
	if at.Before(e.loadAt) {
		return
	}
	e.load, e.loadAt = load, at
	e.contention.record(at, load.Contention)
}

// move counts a request at the engine that it was sent to instead of the one where it was placed.
func (t *Table) move(now time.Time, id RequestID, placed *entry, to *engine) {
	if to == placed.engine {
		return
	}
	for _, key := range placed.added {
		placed.engine.cache.remove(key)
	}
	t.remove(id)
	if to != nil {
		t.add(now, Request{ID: id, Tokens: placed.tokens, Parts: placed.parts, Deadline: placed.deadline}, to)
	}
}

// recordFirstEvent records that the engine has read a prompt, and those placed before it, and learns from the time that
// this took. Reports that are received twice count once.
func (t *Table) recordFirstEvent(now time.Time, placed *entry, elapsed time.Duration) {
	e := placed.engine
	for i, p := range e.pending {
		if p == placed {
			e.backlog, e.backlogAt = min(t.backlogOf(now, e, e.slowness(now)), e.pendingTokens(i+1)), now
			e.pending = append(e.pending[:i], e.pending[i+1:]...)
			t.learn(now, placed, elapsed)
			return
		}
	}
}

// learn learns from the time to a first event.
func (t *Table) learn(now time.Time, placed *entry, elapsed time.Duration) {
	e := placed.engine
	if elapsed <= 0 || placed.waits {
		return
	}
	// The contention while the prompt was read is between the estimates before and after.
	contended := (placed.contention + e.contention.estimate(now)) / 2
	ratio := float64(elapsed) / t.reading.expected(placed.ahead, e.speed.slowness()*contended)
	t.reading.observe(placed.ahead, float64(elapsed)/(e.speed.slowness()*contended))
	e.speed.observe(ratio)
}
