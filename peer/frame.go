package peer

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// MaxFrameBytes bounds the length of a frame, so that an unauthenticated client cannot make a node allocate
	// memory without limit.
	MaxFrameBytes    = 8 << 20
	frameHeaderBytes = 4
	// Frames are written in chunks of writeChunkBytes, and writeChunkTimeout bounds the write of each. A large frame may
	// thus take any time, as long as the receiver accepts at least 32 kB per second.
	writeChunkBytes   = 64 << 10
	writeChunkTimeout = 2 * time.Second
)

// ErrFrameTooLong is returned for a frame longer than MaxFrameBytes.
var ErrFrameTooLong = errors.New("peer: frame too long")

// Frame is one message on the wire.
type Frame struct {
	Kind Kind
	// Number is the same in a call and its reply, and unique among the calls in flight on the connection.
	Number uint64
	Reply  bool
	// Packed is true if Body holds the compressed body, encoded as a byte string.
	Packed bool
	Body   msgpack.RawMessage
}

// EncodeFrame returns the encoded frame, preceded by its length.
func EncodeFrame(f Frame) ([]byte, error) {
	body, err := marshal(&f)
	if err != nil {
		return nil, errors.Wrap(err, "peer: unable to encode a frame")
	}
	if len(body) > MaxFrameBytes {
		return nil, ErrFrameTooLong
	}
	out := make([]byte, frameHeaderBytes, frameHeaderBytes+len(body))
	binary.BigEndian.PutUint32(out, uint32(len(body)))
	return append(out, body...), nil
}

// writeChunks writes an encoded frame to a connection in chunks, each with its own write deadline.
func writeChunks(conn net.Conn, data []byte) error {
	for len(data) > 0 {
		if err := conn.SetWriteDeadline(time.Now().Add(writeChunkTimeout)); err != nil {
			return err
		}
		n, err := conn.Write(data[:min(writeChunkBytes, len(data))])
		if err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// ReadFrame reads one frame.
func ReadFrame(r io.Reader) (Frame, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return Frame{}, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > MaxFrameBytes {
		return Frame{}, ErrFrameTooLong
	}
	// The buffer grows with the bytes received, so that a header alone cannot cause an allocation of MaxFrameBytes.
	body, err := io.ReadAll(io.LimitReader(r, int64(length)))
	if err != nil {
		return Frame{}, err
	}
	if len(body) < int(length) {
		return Frame{}, io.ErrUnexpectedEOF
	}
	return DecodeFrame(body)
}

// DecodeFrame decodes a frame without its length.
func DecodeFrame(body []byte) (Frame, error) {
	var f Frame
	if err := msgpack.Unmarshal(body, &f); err != nil {
		return Frame{}, errors.Wrap(err, "peer: unable to decode a frame")
	}
	return f, nil
}

// EncodeBody encodes a message as the body of a call or reply.
func EncodeBody(value any) (msgpack.RawMessage, error) {
	body, err := marshal(value)
	if err != nil {
		return nil, errors.Wrap(err, "peer: unable to encode a body")
	}
	return body, nil
}

// marshal encodes a value without its empty fields and with integers of minimal length, because most messages between
// nodes only report that nothing has changed: a FeedReply on three tables then takes 139 bytes instead of 215.
func marshal(value any) ([]byte, error) {
	var out bytes.Buffer
	encoder := msgpack.NewEncoder(&out)
	encoder.SetOmitEmpty(true)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(value); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// DecodeBody decodes the body of a call or reply into a message.
func DecodeBody(body []byte, into any) error {
	if err := msgpack.Unmarshal(body, into); err != nil {
		return errors.Wrap(err, "peer: unable to decode a body")
	}
	return nil
}
