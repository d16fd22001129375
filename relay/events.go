package relay

import (
	"bytes"

	"github.com/go-faster/errors"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

var errEventTooLong = errors.New("relay: an event is too long")

// events cuts a stream into whole events, so that a caller never gets a part of one that another
// endpoint might then repeat.
type eventSplitter struct {
	partial []byte
	// last is the ID of the last whole event.
	lastID string
	// count counts whole events.
	count int
}

// add takes bytes in and returns those that end with a whole event; they are valid until the
// next call.
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
	whole := bytes.Clone(e.partial[:end])
	e.partial = append(e.partial[:0], e.partial[end:]...)
	if len(e.partial) > maxEventBytes {
		return nil, errEventTooLong
	}
	return whole, nil
}

// clean tells whether no part of an event is left.
func (e *eventSplitter) atEventBoundary() bool {
	return len(e.partial) == 0
}

// eventEnd returns the length of the first event with the blank line that ends it, or -1.
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

func (e *eventSplitter) record(event []byte) {
	e.count++
	for line := range bytes.Lines(event) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.lastID = string(bytes.TrimSpace(id))
		}
	}
}
