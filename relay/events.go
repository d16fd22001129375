package relay

import (
	"bytes"

	"github.com/go-faster/errors"
)

// maxEventBytes is the maximum size of one event of a stream, with the comments and blank lines before it.
const maxEventBytes = 256 << 10

var errEventTooLong = errors.New("relay: stream event exceeds the size limit")

// eventSplitter splits a stream of server-sent events into complete events, so that a caller never receives a part of
// an event that another endpoint might then repeat.
type eventSplitter struct {
	// partial is the beginning of an event that is not complete yet. It may begin with comments and blank lines, which are
	// passed on with the event.
	partial []byte
	// searched is the length of the comments and blank lines at the beginning of partial that were looked at.
	searched int
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
		n := eventEnd(e.partial[e.searched:])
		if n < 0 {
			break
		}
		block := e.partial[e.searched : e.searched+n]
		e.searched += n
		if hasField(block) {
			e.record(block)
			end = e.searched
		}
	}
	if len(e.partial)-end > maxEventBytes {
		return nil, errEventTooLong
	}
	if end == 0 {
		return nil, nil
	}
	complete := bytes.Clone(e.partial[:end])
	e.partial = append(e.partial[:0], e.partial[end:]...)
	e.searched -= end
	return complete, nil
}

// rest returns the bytes after the last event. whole is true if they are complete lines that belong to no event, so that the
// stream may end there.
func (e *eventSplitter) rest() (rest []byte, whole bool) {
	return e.partial, len(e.partial) == 0 || bytes.HasSuffix(e.partial, []byte("\n")) && !hasField(e.partial)
}

// hasField reports whether p has a line that is neither blank nor a comment.
func hasField(p []byte) bool {
	for line := range bytes.Lines(p) {
		if line[0] != ':' && len(bytes.TrimRight(line, "\r\n")) > 0 {
			return true
		}
	}
	return false
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
