package ending

// The ways in which a body is delimited.
const (
	// Length is a body whose length is known before it.
	Length Framing = "Length"
	// Chunks is a body in chunks, which a last chunk ends.
	Chunks Framing = "Chunks"
	// Connection is a body that ends with its connection, which does not tell whether it is whole.
	Connection Framing = "Connection"
)

// What the end of an answer is judged by.
const (
	// Framed is an end that the sender has stated, by a length or a last chunk.
	Framed Evidence = "Framed"
	// WithinEvent is an end within an event of a stream.
	WithinEvent Evidence = "WithinEvent"
	// ReadFailed is an answer whose rest could not be read.
	ReadFailed Evidence = "ReadFailed"
	// NothingListens is an end after which the endpoint's address refuses connections, although the endpoint has not announced
	// that it leaves.
	NothingListens Evidence = "NothingListens"
	// StillListens is an end after which something listens at the endpoint's address.
	StillListens Evidence = "StillListens"
	// Announced is an end at an endpoint that is leaving or no longer listed: that nothing listens there then says nothing.
	Announced Evidence = "Announced"
)

type (
	// Framing is how a body is delimited.
	Framing string

	// Evidence is what the end of an answer is judged by.
	Evidence string
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
