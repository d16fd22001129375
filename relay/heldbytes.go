package relay

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/ending"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// fullRetryAfter is the least time after which a caller may retry a request that the node had no memory for; the time that it
// gets is up to twice that, so that not all come back at once. By then, connections that make no progress can be closed.
const fullRetryAfter = 300 * time.Millisecond

// minAnswerStep is the least size, in bytes, that is reserved at a time for an answer of unknown length.
const minAnswerStep = 16 << 10

// countedReader reads the body of an answer of unknown length. It reserves the mean size of answers before it reads any of it,
// and twice as much whenever that does not suffice: answers that are read in small parts would wait for each other. One byte more
// than was reserved may be read, so that the end of an answer that just fits is seen without a further reservation.
type countedReader struct {
	ctx  context.Context
	body io.Reader
	held HeldBytes
	// reserved is what was reserved, and read what was read, in bytes.
	reserved, read int64
}

// Read implements io.Reader. It fails with a *model.Refusal if the node may hold no more of the answer.
func (c *countedReader) Read(p []byte) (int, error) {
	if c.reserved == 0 || c.read > c.reserved {
		step := max(c.reserved, c.held.MeanAnswer(), minAnswerStep)
		if c.held.Reserve(c.ctx, step) != nil {
			return 0, refuseFullAnswer()
		}
		c.reserved += step
	}
	n, err := c.body.Read(p[:min(int64(len(p)), c.reserved+1-c.read)])
	c.read += int64(n)
	return n, err
}

// readCounted reads the body of a reply, up to limit bytes, and counts it as held for the caller. The answer of an endpoint that
// did not run the request is not counted: if it could not be read, it would no longer be known that the request has not run. The
// error is ending.ErrUnstated beside a body whose end was not stated.
func (j *job) readCounted(ctx context.Context, reply *model.ForwardReply, limit int64) ([]byte, error) {
	held := j.responder.Held
	if held.Reserve == nil || reply.NotRun {
		return io.ReadAll(io.LimitReader(reply.Body, limit))
	}
	body := &countedReader{ctx: ctx, body: reply.Body, held: held}
	var out bytes.Buffer
	if reply.Length > 0 && reply.Length < limit {
		if held.Reserve(ctx, reply.Length) != nil {
			return nil, refuseFullAnswer()
		}
		body.reserved = reply.Length
		out.Grow(int(reply.Length) + bytes.MinRead)
	}
	_, err := out.ReadFrom(io.LimitReader(body, limit))
	if err != nil && !errors.Is(err, ending.ErrUnstated) {
		held.Add(-body.reserved)
		return nil, err
	}
	held.Add(body.read - body.reserved)
	held.Answered(body.read)
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
