package kernel

import (
	"slices"
	"time"
)

const (
	// maxReadSpans bounds the spans of a history. There is one more than there were outages and cuts that no node's reads
	// bridge.
	maxReadSpans = 8
	// readSpanTolerance is how much more than the own spans those of another node have to cover to be of use. Their times
	// are off by the transit time of a message.
	readSpanTolerance = 300 * time.Millisecond
	// maxReadSpanAge is how long after its end a span is of use: longer than the cuts and outages in which entries are missed.
	maxReadSpanAge = time.Minute
)

type (
	// ReadSpan is a time in which reads of a table, by any node, followed each other within outageThreshold, as one node
	// tells it to another one: the versions of the first and the last read, and their ages.
	ReadSpan struct {
		FromVersion, ToVersion uint64
		FromAge, ToAge         time.Duration
	}

	// ReadHistory tells when a table was read from the store, by any node as far as this one has heard. It is immutable.
	ReadHistory struct {
		// spans are in the order of time and do not overlap.
		spans []readSpan
	}

	readSpan struct {
		fromVersion, toVersion uint64
		from, to               time.Time
	}
)

// WithRead returns the history with a read of the table that began at a time and showed a version of the store.
func (h ReadHistory) WithRead(at time.Time, version uint64) ReadHistory {
	return h.with(readSpan{fromVersion: version, toVersion: version, from: at, to: at})
}

// WithSpans returns the history with what another node knows as of now, and whether that adds to it.
func (h ReadHistory) WithSpans(now time.Time, spans []ReadSpan) (after ReadHistory, added bool) {
	after = h
	for _, told := range spans {
		s := readSpan{fromVersion: told.FromVersion, toVersion: told.ToVersion, from: now.Add(-told.FromAge), to: now.Add(-told.ToAge)}
		if s.fromVersion > s.toVersion || s.from.After(s.to) || after.contains(s) {
			continue
		}
		after, added = after.with(s), true
	}
	return after, added
}

// contains reports whether a span adds nothing to the history.
func (h ReadHistory) contains(s readSpan) bool {
	return slices.ContainsFunc(h.spans, func(own readSpan) bool {
		return own.fromVersion <= s.fromVersion && !s.from.Before(own.from.Add(-readSpanTolerance)) && !s.to.After(own.to.Add(readSpanTolerance))
	})
}

func (h ReadHistory) with(added readSpan) ReadHistory {
	spans := append(slices.Clone(h.spans), added)
	slices.SortStableFunc(spans, func(a, b readSpan) int { return a.from.Compare(b.from) })
	out := spans[:1]
	for _, s := range spans[1:] {
		last := &out[len(out)-1]
		if s.from.Sub(last.to) > outageThreshold {
			out = append(out, s)
			continue
		}
		last.fromVersion = min(last.fromVersion, s.fromVersion)
		last.toVersion = max(last.toVersion, s.toVersion)
		if s.to.After(last.to) {
			last.to = s.to
		}
	}
	newest := out[len(out)-1].to
	out = slices.DeleteFunc(out, func(s readSpan) bool { return newest.Sub(s.to) > maxReadSpanAge })
	return ReadHistory{spans: out[max(0, len(out)-maxReadSpans):]}
}

// Lacking returns what to tell a node that has told of its history as of now: the spans of this node, if that one has
// not seen the store for a time in which this node knows of reads.
func (h ReadHistory) Lacking(now time.Time, told []ReadSpan) []ReadSpan {
	if len(told) == 0 || len(told) == 1 && told[0].ToAge <= outageThreshold {
		return nil
	}
	other, _ := ReadHistory{}.WithSpans(now, told)
	spans := h.Spans(now)
	if _, adds := other.WithSpans(now, spans); !adds {
		return nil
	}
	return spans
}

// Spans returns the history as of now, for another node.
func (h ReadHistory) Spans(now time.Time) []ReadSpan {
	out := make([]ReadSpan, 0, len(h.spans))
	for _, s := range h.spans {
		out = append(out, ReadSpan{FromVersion: s.fromVersion, ToVersion: s.toVersion, FromAge: now.Sub(s.from), ToAge: now.Sub(s.to)})
	}
	return out
}

// InUse reports whether the store was in use while it went from one version to another: it was read before and after that,
// and in between at no greater intervals than outageThreshold.
func (h ReadHistory) InUse(after, through uint64) bool {
	return slices.ContainsFunc(h.spans, func(s readSpan) bool { return s.fromVersion <= after && through <= s.toVersion })
}
