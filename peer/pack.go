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
	// minCompressBytes is from how many bytes on a reply is sent compressed: less takes a link of 10 Mbit/s under 2 ms.
	// What changed at many endpoints at once, as at a common start, shrinks to a fifth.
	minCompressBytes = 2 << 10
	// maxDecompressedBytes bounds what a compressed message may become, so that a stranger cannot make a node allocate
	// without end.
	maxDecompressedBytes = 16 << 20
)

var (
	errDecompressedTooLong = errors.New("peer: a compressed message is too long")
	// flateWriters are kept: a new one takes 0.6 MB.
	flateWriters = sync.Pool{New: func() any { return newFlateWriter() }}
)

func newFlateWriter() *flate.Writer {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		// Only a level that does not exist is an error.
		panic("peer: " + err.Error())
	}
	return w
}

// Pack compresses bytes (DEFLATE, fastest).
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

// Unpack returns what Pack was given.
func Decompress(packed []byte) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxDecompressedBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "peer: unable to decompress")
	}
	if len(data) > maxDecompressedBytes {
		return nil, errDecompressedTooLong
	}
	return data, nil
}

// packed returns a frame with a long body compressed.
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

// body returns a frame's body as it was before it was compressed.
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
