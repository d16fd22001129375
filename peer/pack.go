package peer

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// minCompressBytes is the length from which the body of a reply is compressed. A shorter one takes less than 2 ms on
	// a link of 10 Mbit/s. The changes of many endpoints, as after a simultaneous start, shrink to a fifth.
	minCompressBytes = 2 << 10
	// maxDecompressedBytes bounds the length of a decompressed message, so that a small message cannot make a node
	// allocate memory without limit.
	maxDecompressedBytes = 16 << 20
)

var (
	errDecompressedTooLong = errors.New("peer: a compressed message is too long")
	// flateWriters are reused because each one takes 0.6 MB.
	flateWriters = sync.Pool{New: func() any { return newFlateWriter() }}
)

func newFlateWriter() *flate.Writer {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		// NewWriter fails only for an invalid level.
		panic("peer: " + err.Error())
	}
	return w
}

// Compress compresses data with DEFLATE at its fastest level.
func Compress(data []byte) ([]byte, error) {
	var out bytes.Buffer
	w := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(w)
	w.Reset(&out)
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "peer: unable to compress")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "peer: unable to compress")
	}
	return out.Bytes(), nil
}

// Decompress reverses Compress.
func Decompress(compressed []byte) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxDecompressedBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "peer: unable to decompress")
	}
	if len(data) > maxDecompressedBytes {
		return nil, errDecompressedTooLong
	}
	return data, nil
}

// compressed returns the frame with its body compressed, or unchanged if the body is shorter than minCompressBytes.
func (f Frame) compressed() (Frame, error) {
	if len(f.Body) < minCompressBytes {
		return f, nil
	}
	data, err := Compress(f.Body)
	if err != nil {
		return f, err
	}
	f.Body, err = EncodeBody(data)
	f.Packed = true
	return f, err
}

// decompressedBody returns the frame's body, decompressed if necessary.
func (f Frame) decompressedBody() (msgpack.RawMessage, error) {
	if !f.Packed {
		return f.Body, nil
	}
	var data []byte
	if err := DecodeBody(f.Body, &data); err != nil {
		return nil, err
	}
	return Decompress(data)
}
