package ending

import (
	"io"

	"github.com/go-faster/errors"
)

// The ways in which a body is delimited.
const (
	// Length is a body whose length is known before it.
	Length Framing = "Length"
	// Chunks is a body in chunks, which a last chunk ends.
	Chunks Framing = "Chunks"
	// Connection is a body that ends with its connection, which does not tell whether it is whole.
	Connection Framing = "Connection"
)

// What is known of the end of an answer.
const (
	// Stated is an end that the sender has stated: the answer is whole.
	Stated End = "Stated"
	// Unstated is the end of a connection. The answer may be whole or the beginning of one.
	Unstated End = "Unstated"
	// BrokenOff is an answer that is known to be the beginning of one.
	BrokenOff End = "BrokenOff"
)

// What the end of an answer is judged by.
const (
	// Framed is an end that the sender has stated, by a length or a last chunk.
	Framed Evidence = "Framed"
	// WithinEvent is an end within an event of a stream.
	WithinEvent Evidence = "WithinEvent"
	// ReadFailed is a read that failed before the end of the answer.
	ReadFailed Evidence = "ReadFailed"
	// NothingListens is an end after which the endpoint's address refuses connections, although the endpoint has not announced
	// that it leaves.
	NothingListens Evidence = "NothingListens"
	// StartedAgain is an end of an endpoint whose process has been replaced by a younger one.
	StartedAgain Evidence = "StartedAgain"
	// StillListens is an end after which something listens at the endpoint's address.
	StillListens Evidence = "StillListens"
	// Announced is an end at an endpoint that is leaving or no longer listed: that nothing listens there then says nothing.
	Announced Evidence = "Announced"
	// OtherNode is an end that another node has passed on as unstated.
	OtherNode Evidence = "OtherNode"
)

// What ends an answer to a caller.
const (
	// Finish ends the answer as its framing does: with all of its length, the last chunk, or the end of its connection.
	Finish Conclusion = iota
	// Abort closes the connection of an answer that its framing shows to be incomplete then.
	Abort
	// Reset resets the connection of an answer that would else end as a whole one does.
	Reset
)

// ErrUnstated is the error of a read at the end of a body whose sender has not stated it.
var ErrUnstated = errors.New("the sender has not stated the end of the answer")

type (
	// Framing is how a body is delimited; empty if it is not known.
	Framing string

	// End is what is known of the end of an answer.
	End string

	// Evidence is what the end of an answer is judged by.
	Evidence string

	// Conclusion is what ends an answer to a caller.
	Conclusion int

	// Judgement is what is known of the end of an answer, and by what.
	Judgement struct {
		End      End
		Evidence Evidence
	}

	// Endpoint is what is known of an endpoint after the connection of its answer has ended.
	Endpoint struct {
		// Announced is true if the endpoint is leaving or no longer listed.
		Announced bool
		// StartedAgain is true if a younger process is listed in place of the one that has answered.
		StartedAgain bool
		// NothingListens is true if its address refuses connections.
		NothingListens bool
	}
)

// FramingOf returns the framing of a body by its length in bytes, -1 if none is stated, and whether it comes in chunks.
func FramingOf(length int64, chunked bool) Framing {
	switch {
	case chunked:
		return Chunks
	case length >= 0:
		return Length
	default:
		return Connection
	}
}

// Delimits reports whether the framing marks the end of a body, so that a truncated one can be detected.
func (f Framing) Delimits() bool {
	return f == Length || f == Chunks
}

// ForStream returns the framing with which a stream is passed on. Only one whose end will be stated is sent in chunks.
func (f Framing) ForStream() Framing {
	if f.Delimits() {
		return Chunks
	}
	return Connection
}

// ForWhole returns the framing with which an answer is passed on all of which was read.
func (e End) ForWhole() Framing {
	if e == Stated {
		return Length
	}
	return Connection
}

// JudgeRead returns what the end of the read of a body tells: io.EOF at an end that was stated, ErrUnstated at that of its
// connection, or another error. withinEvent is true if the body is a stream and ends within an event. Evidence is empty
// for an end that was not stated.
func JudgeRead(err error, withinEvent bool) Judgement {
	switch {
	case !errors.Is(err, io.EOF) && !errors.Is(err, ErrUnstated):
		return Judgement{End: BrokenOff, Evidence: ReadFailed}
	case withinEvent:
		return Judgement{End: BrokenOff, Evidence: WithinEvent}
	case errors.Is(err, ErrUnstated):
		return Judgement{End: Unstated}
	default:
		return Judgement{End: Stated, Evidence: Framed}
	}
}

// JudgeEndpoint returns what an endpoint tells of the end of its answer that it has not stated. It can show that the answer was
// broken off, but not that it is whole.
func JudgeEndpoint(e Endpoint) Judgement {
	switch {
	case e.StartedAgain:
		return Judgement{End: BrokenOff, Evidence: StartedAgain}
	case e.Announced:
		return Judgement{End: Unstated, Evidence: Announced}
	case e.NothingListens:
		return Judgement{End: BrokenOff, Evidence: NothingListens}
	default:
		return Judgement{End: Unstated, Evidence: StillListens}
	}
}

// MayEnd reports whether an answer that has begun with a framing may end so. One that is to state its end can't end without.
func MayEnd(f Framing, e End) bool {
	return e == Stated || e == Unstated && !f.Delimits()
}

// Conclude returns what ends an answer that was begun with a framing.
func Conclude(f Framing, e End) Conclusion {
	switch {
	case MayEnd(f, e):
		return Finish
	case f.Delimits():
		return Abort
	default:
		return Reset
	}
}
