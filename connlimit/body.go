package connlimit

import (
	"context"
	"io"
)

// bodyReader counts what is read of the body of a request.
type bodyReader struct {
	ctx     context.Context
	body    io.Reader
	request *Request
}

// Body returns a reader of the body of the request that counts what it reads. It fails with ErrFull if there is no room.
func (r *Request) Body(ctx context.Context, body io.Reader) io.Reader {
	r.observeReceiving(true)
	return &bodyReader{ctx: ctx, body: body, request: r}
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	b.request.observeReceiving(err == nil)
	if err == io.EOF {
		b.request.recordReceived()
	}
	if n > 0 {
		if full := b.request.ReserveBody(b.ctx, int64(n)); full != nil {
			b.request.observeReceiving(false)
			return n, full
		}
	}
	return n, err
}

func (r *Request) observeReceiving(waiting bool) {
	now := r.tracker.now()
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	if !r.ended && !r.detached {
		r.tracker.ledger.ObserveReceiving(now, r.id, waiting)
	}
}
