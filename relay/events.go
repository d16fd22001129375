package relay

import (
	"bytes"

	"github.com/go-faster/errors"
)

// maxEventBytes is the maximum size of one event of a stream.
const maxEventBytes = 1 << 20

var errEventTooLong = errors.New("relay: stream event exceeds the size limit")

// eventSplitter splits a stream of server-sent events into complete events, so that a caller never receives a part of
// an event that another endpoint might then repeat.
type eventSplitter struct {
	// partial is the beginning of an event that is not complete yet.
	partial []byte
	// lastID is the ID of the last complete event that has one.
	lastID string
	// count is the number of complete events.
	count int
}

// add appends p to the stream and returns the events that are complete now, or nothing.
func (e *eventSplitter) add(p []byte) ([]byte, error) {
	e.partial = append(e.partial, p...)
	end := 0
	for {
		n := eventEnd(e.partial[end:])
		if n < 0 {
			break
		}
		e.record(e.partial[end : end+n])
		end += n
	}
	complete := bytes.Clone(e.partial[:end])
	e.partial = append(e.partial[:0], e.partial[end:]...)
	if len(e.partial) > maxEventBytes {
		return nil, errEventTooLong
	}
	return complete, nil
}

// atEventBoundary reports whether the stream so far ends with a complete event.
func (e *eventSplitter) atEventBoundary() bool {
	return len(e.partial) == 0
}

// eventEnd returns the length of the first event in p, including the blank line that ends it, or -1.
func eventEnd(p []byte) int {
	lf := bytes.Index(p, []byte("\n\n"))
	crlf := bytes.Index(p, []byte("\r\n\r\n"))
	switch {
	case lf < 0 && crlf < 0:
		return -1
	case crlf < 0 || (lf >= 0 && lf < crlf):
		return lf + 2
	default:
		return crlf + 4
	}
}

// record counts a complete event and keeps its ID.
func (e *eventSplitter) record(event []byte) {
	e.count++
	for line := range bytes.Lines(event) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.lastID = string(bytes.TrimSpace(id))
		}
	}
}
