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
	// MaxFrameBytes bounds a frame's length in bytes, so that a stranger cannot make a node
	// allocate without end.
	MaxFrameBytes    = 8 << 20
	frameHeaderBytes = 4
	// writeChunkBytes is how many bytes of a frame are written at once, and writeChunkTimeout how long that may take: a
	// large frame goes on for as long as the other side takes it, at 32 kB a second or more.
	writeChunkBytes   = 64 << 10
	writeChunkTimeout = 2 * time.Second
)

// ErrFrameTooLong is returned for a frame above MaxFrameBytes.
var ErrFrameTooLong = errors.New("peer: frame too long")

// Frame is one message on the wire.
type Frame struct {
	Kind Kind
	// Number pairs a reply with its call.
	Number uint64
	Reply  bool
	// Packed tells that Body holds bytes that are the body, compressed.
	Packed bool
	Body   msgpack.RawMessage
}

// EncodeFrame returns the bytes of a frame.
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

// writeChunks writes a frame's bytes to a connection for as long as the other side takes them.
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
	// The buffer grows with what arrives: a header alone must not cost MaxFrameBytes.
	body, err := io.ReadAll(io.LimitReader(r, int64(length)))
	if err != nil {
		return Frame{}, err
	}
	if len(body) < int(length) {
		return Frame{}, io.ErrUnexpectedEOF
	}
	return DecodeFrame(body)
}

// DecodeFrame decodes a frame's bytes after the length.
func DecodeFrame(body []byte) (Frame, error) {
	var f Frame
	if err := msgpack.Unmarshal(body, &f); err != nil {
		return Frame{}, errors.Wrap(err, "peer: unable to decode a frame")
	}
	return f, nil
}

// EncodeBody encodes a message as the body of a call.
func EncodeBody(value any) (msgpack.RawMessage, error) {
	body, err := marshal(value)
	if err != nil {
		return nil, errors.Wrap(err, "peer: unable to encode a body")
	}
	return body, nil
}

// marshal leaves out fields that hold nothing and writes numbers in as few bytes as they need. Most messages
// between nodes say that nothing is new: the answer to a question for three tables takes 139 bytes so, 215
// otherwise.
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

// DecodeBody decodes the body of a call into a message.
func DecodeBody(body []byte, into any) error {
	if err := msgpack.Unmarshal(body, into); err != nil {
		return errors.Wrap(err, "peer: unable to decode a body")
	}
	return nil
}
