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
	// minCommitInterval is the least time between the starts of two group commits of one node.
	minCommitInterval = 20 * time.Millisecond
	// maxCommitKeys bounds the keys of one group commit.
	maxCommitKeys = 256
	// tableRetryAfter is when a caller should retry if the table does not answer.
	tableRetryAfter = 2 * time.Second
)

type (
	// committer inserts durable keys into the table in group commits: keys that arrive during a commit are part of the
	// next one. It is safe for concurrent use.
	committer struct {
		store *table.Store
		mu    sync.Mutex
		// queue holds the inserts that are not part of a commit yet, in order of arrival.
		queue []*pendingInsert
		// running is true while a goroutine executes commitQueued.
		running bool
	}

	// pendingInsert is the insert of one key.
	pendingInsert struct {
		// row is the row to insert, and after the commit the row that is in the table.
		row table.KeyRow
		// done is closed once row and err are set.
		done chan struct{}
		err  error
	}
)

func newCommitter(store *table.Store) *committer {
	return &committer{store: store}
}

// insert inserts the row of a key, unless the table has one, and returns the row that is in the table.
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

// commitQueued commits the queued inserts until none is left.
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
	// The commit is not cancelled along with the requests in it, because its outcome must be known.
	result, err := c.store.InsertKeys(context.Background(), rows)
	for i, p := range batch {
		p.row, p.err = result[i], err
		close(p.done)
	}
}

// serveDurable serves a request whose key is arbitrated by the table. It forwards the request to the member that
// inserts the key, and serves it here if that member cannot be reached. A forwarded request is not forwarded again.
func (n *Node) serveDurable(ctx context.Context, req keyedRequest, forwarded bool) (model.Answer, *model.Refusal) {
	alive, _ := n.fleet.alive()
	member, ok := kernel.CommitterOf(req.key, alive)
	if ok && !forwarded && member.ID() != n.member.ID() {
		answer, refusal := n.forward(ctx, member, req)
		if refusal == nil || refusal.Reason != model.OwnerUnreachable {
			return answer, refusal
		}
	}
	run, answer, refusal := n.durableKeys.admit(req.withIssued(time.Now()), n.executeDurable)
	if run == nil {
		return answer, refusal
	}
	return run.wait(ctx, req.Deadline)
}

// withIssued sets the time of issue of a key that carries none, so that the key expires in the ledger. At-most-once
// execution does not depend on the ledger here: it is ensured by the row in the table.
func (r keyedRequest) withIssued(now time.Time) keyedRequest {
	if !r.key.Timed() {
		r.key.Issued = now
	}
	return r
}

// executeDurable inserts the key, runs the request if the row in the table is that of this process, and records the
// outcome.
func (n *Node) executeDurable(req keyedRequest, r *keyedRun) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	began := time.Now()
	answer, p, refusal := n.insertAndRun(req)
	n.recordRequest(req.Request, began, answer, p, refusal, "")
	n.durableKeys.finish(req.key, r, answer, refusal, p.nonIdempotentSent)
}

// insertAndRun inserts the key and runs the request if the row in the table has the writer ID of this process.
// If the row has another writer ID, an earlier attempt may have run, and the request is refused.
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
		// The verdict is not NotRun: an earlier attempt may have run on another node.
		return model.Answer{}, progress{}, model.NewRefusal(model.MayHaveRun, model.TableUnavailable, tableRetryAfter,
			"the table cannot say whether the key was used")
	}
	if row.Fingerprint != kernel.Fingerprint(req.Request) {
		return model.Answer{}, progress{}, model.NewRefusal(model.NotRun, model.KeyMismatch, 0,
			"the key was used for another request; send this one with a new key")
	}
	if row.Writer != writer {
		// The key was inserted by another process, or by this one, which no longer has the outcome.
		return model.Answer{}, progress{}, model.NewRefusal(model.MayHaveRun, model.OutcomeUnknown, 0,
			"the key was taken before and its answer is not known here")
	}
	return n.runPipeline(n.ctx, req.Request, req.pipeline, nil)
}
