package node

import (
	"context"
	"sync"
	"time"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/table"
)

const (
	// minCommitInterval is the least time between two group commits of one node.
	minCommitInterval = 20 * time.Millisecond
	// maxCommitKeys bounds the keys of one group commit.
	maxCommitKeys = 256
	// tableRetryAfter is when to come back where the table does not answer.
	tableRetryAfter = 2 * time.Second
)

type (
	// committer inserts durable keys in group commits: keys that arrive while one commit is
	// under way go into the next.
	committer struct {
		store *table.Store
		mu    sync.Mutex
		// waiting holds the keys of the next commit.
		queue   []*pendingInsert
		running bool
	}

	pendingInsert struct {
		row  table.KeyRow
		done chan struct{}
		err  error
	}
)

func newCommitter(store *table.Store) *committer {
	return &committer{store: store}
}

// insert returns the row that stands in the table for a key: this one or an earlier one.
func (c *committer) insert(row table.KeyRow) (table.KeyRow, error) {
	p := &pendingInsert{row: row, done: make(chan struct{})}
	c.mu.Lock()
	c.queue = append(c.queue, p)
	if !c.running {
		c.running = true
		go c.commitQueued()
	}
	c.mu.Unlock()
	<-p.done
	return p.row, p.err
}

// work commits until nothing waits.
func (c *committer) commitQueued() {
	for {
		c.mu.Lock()
		batch := c.queue[:min(maxCommitKeys, len(c.queue))]
		c.queue = c.queue[len(batch):]
		if len(batch) == 0 {
			c.running = false
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		began := time.Now()
		c.commit(batch)
		time.Sleep(minCommitInterval - time.Since(began))
	}
}

func (c *committer) commit(batch []*pendingInsert) {
	rows := make([]table.KeyRow, 0, len(batch))
	for _, p := range batch {
		rows = append(rows, p.row)
	}
	// A commit outlives the requests in it: its outcome must be learned.
	result, err := c.store.InsertKeys(context.Background(), rows)
	for i, p := range batch {
		p.row, p.err = result[i], err
		close(p.done)
	}
}

// serveDurable runs a request whose key the table arbitrates. A forwarded one is not
// forwarded again.
func (n *Node) serveDurable(ctx context.Context, req keyedRequest, forwarded bool) (model.Answer, *model.Refusal) {
	alive, _ := n.fleet.alive()
	member, ok := kernel.CommitterOf(req.key, alive)
	if ok && !forwarded && member.ID() != n.member.ID() {
		answer, refusal := n.forward(ctx, member, req)
		if refusal == nil || refusal.Reason != model.OwnerUnreachable {
			return answer, refusal
		}
	}
	f, answer, refusal := n.durableKeys.admit(req.withIssued(time.Now()), n.executeDurable)
	if f == nil {
		return answer, refusal
	}
	return f.wait(ctx, req.Deadline)
}

// remembered gives a key without a time one, so that the memory of it ends some day. What
// counts for at-most-once is the table.
func (r keyedRequest) withIssued(now time.Time) keyedRequest {
	if !r.key.Timed() {
		r.key.Issued = now
	}
	return r
}

// executeDurable inserts the key and runs the request if this process is the one that the
// table names.
func (n *Node) executeDurable(req keyedRequest, f *keyedRun) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	began := time.Now()
	answer, p, refusal := n.insertAndRun(req)
	n.recordRequest(req.Request, began, answer, p, refusal, "")
	n.durableKeys.finish(req.key, f, answer, refusal, p.nonIdempotentSent)
}

func (n *Node) insertAndRun(req keyedRequest) (model.Answer, progress, *model.Refusal) {
	writer := n.durableKeys.writer(req.key.ID)
	row, err := n.committer.insert(table.KeyRow{
		Key:         req.key.ID,
		Member:      n.member.ID(),
		Writer:      writer,
		Fingerprint: kernel.Fingerprint(req.Request),
		At:          time.Now(),
	})
	n.recordTableResult(err)
	if err != nil {
		// An earlier attempt may have run on another node, so this is no NotRun.
		return model.Answer{}, progress{}, model.NewRefusal(model.MayHaveRun, model.TableUnavailable, tableRetryAfter,
			"the table cannot say whether the key was used")
	}
	if row.Fingerprint != kernel.Fingerprint(req.Request) {
		return model.Answer{}, progress{}, model.NewRefusal(model.NotRun, model.KeyMismatch, 0,
			"the key was used for another request; send this one with a new key")
	}
	if row.Writer != writer {
		// Another process took the key, or this one did and has forgotten how it ended.
		return model.Answer{}, progress{}, model.NewRefusal(model.MayHaveRun, model.OutcomeUnknown, 0,
			"the key was taken before and its answer is not known here")
	}
	return n.runPipeline(n.ctx, req.Request, req.pipeline, nil)
}
