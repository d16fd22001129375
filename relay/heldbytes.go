package relay

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"time"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// fullRetryAfter is the least time after which a caller may retry a request that the node had no memory for; the time that it
// gets is up to twice that, so that not all come back at once. By then, connections that make no progress can be closed.
const fullRetryAfter = 300 * time.Millisecond

// countedReader counts what is read of the body of an answer.
type countedReader struct {
	ctx     context.Context
	body    io.Reader
	reserve func(ctx context.Context, n int64) error
}

// Read implements io.Reader. It fails with a *model.Refusal if the node may hold no more of the answer.
func (c *countedReader) Read(p []byte) (int, error) {
	n, err := c.body.Read(p)
	if n > 0 && c.reserve(c.ctx, int64(n)) != nil {
		return n, refuseFullAnswer()
	}
	return n, err
}

// readCounted reads the body of a reply, up to limit bytes, and counts it as held for the caller. The answer of an endpoint that
// did not run the request is not counted: if it could not be read, it would no longer be known that the request has not run.
func (j *job) readCounted(ctx context.Context, reply *model.ForwardReply, limit int64) ([]byte, error) {
	body := reply.Body
	reserve := j.responder.Held.Reserve
	var out bytes.Buffer
	switch {
	case reserve == nil || reply.NotRun:
	case reply.Length <= 0 || reply.Length > limit:
		body = &countedReader{ctx: ctx, body: reply.Body, reserve: reserve}
	default:
		// The whole answer is reserved before any of it is read: answers that are read in part would wait for each other.
		if reserve(ctx, reply.Length) != nil {
			return nil, refuseFullAnswer()
		}
		out.Grow(int(reply.Length) + bytes.MinRead)
	}
	_, err := out.ReadFrom(io.LimitReader(body, limit))
	return out.Bytes(), err
}

// refuseFullAnswer returns the refusal of a request whose answer the node has no memory for.
func refuseFullAnswer() *model.Refusal {
	return model.NewRefusal(model.MayHaveRun, model.NodeFull, 0, "the node has no memory left for the answer")
}

// writeCounted writes events to the caller. They are counted as held until the write ends.
func (j *job) writeCounted(events []byte) error {
	if add := j.responder.Held.Add; add != nil {
		add(int64(len(events)))
		defer add(-int64(len(events)))
	}
	return j.responder.Write(events)
}

// refuseFull returns the refusal of a request that the node takes no memory for.
func refuseFull() *model.Refusal {
	retryAfter := kernel.ClampRetryAfter(fullRetryAfter + rand.N(fullRetryAfter))
	return model.NewRefusal(model.NotRun, model.NodeFull, retryAfter, "the node holds too much for callers that read slowly")
}

// RefuseFull returns the refusal of a request that the node takes no memory for, and logs and counts it. heldBytes is what the
// node holds.
func (r *Relay) RefuseFull(f model.Forward, heldBytes int64) *model.Refusal {
	refusal := refuseFull()
	r.log.Info().Str("Request", f.ID).Int64("HeldBytes", heldBytes).Int64("InFlight", r.InFlight()).Msg("node holds as many bytes as it may")
	r.refuseUnstarted(f, kernel.Admission{}, r.View(), nil, refusal)
	return refusal
}

// holdRelayed counts a request that another node offers and that is not declined. It returns false if the node takes on no
// more.
func (r *Relay) holdRelayed(declined model.Reason, bodyBytes int64) (HeldRequest, bool) {
	if declined != "" || r.deps.HoldRelayed == nil {
		return HeldRequest{End: func() {}}, true
	}
	held, ok := r.deps.HoldRelayed(bodyBytes)
	if !ok {
		return HeldRequest{End: func() {}}, false
	}
	return held, true
}
