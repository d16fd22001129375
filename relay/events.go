package relay

import (
	"bytes"

	"github.com/go-faster/errors"
)

// mostEvent bounds one event of a stream.
const mostEvent = 1 << 20

var errEventTooLong = errors.New("relay: an event is too long")

// events cuts a stream into whole events, so that a caller never gets a part of one that another
// endpoint might then repeat.
type events struct {
	rest []byte
	// last is the ID of the last whole event.
	last string
	// count counts whole events.
	count int
}

// add takes bytes in and returns those that end with a whole event; they are valid until the
// next call.
func (e *events) add(p []byte) ([]byte, error) {
	e.rest = append(e.rest, p...)
	end := 0
	for {
		n := eventEnd(e.rest[end:])
		if n < 0 {
			break
		}
		e.note(e.rest[end : end+n])
		end += n
	}
	whole := bytes.Clone(e.rest[:end])
	e.rest = append(e.rest[:0], e.rest[end:]...)
	if len(e.rest) > mostEvent {
		return nil, errEventTooLong
	}
	return whole, nil
}

// clean tells whether no part of an event is left.
func (e *events) clean() bool {
	return len(e.rest) == 0
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

func (e *events) note(event []byte) {
	e.count++
	for line := range bytes.Lines(event) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.last = string(bytes.TrimSpace(id))
		}
	}
}
