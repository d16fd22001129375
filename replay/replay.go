package replay

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"basilstall.example/basilstall/caller"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/standin"
)

const (
	// lateAnswerTimeout is how long the replay waits for an answer that is already late.
	lateAnswerTimeout   = 3 * time.Second
	maxIdleConnsPerHost = 512
)

type (
	// sent is one request that was sent, and how it ended.
	sentRequest struct {
		entry   Entry
		result  caller.Result
		err     error
		latency time.Duration
		// whole is true if the answer is whole and its request's own.
		correct bool
	}

	// Replay sends one trace to one set-up.
	Replay struct {
		// Durable sends keys of a form that the table arbitrates instead of UUIDv7.
		Durable bool

		trace  Trace
		setup  *Setup
		client *http.Client
		keysMu sync.Mutex
		// keys has the key that each name in the trace stands for.
		keys map[string]string
	}
)

// NewReplay returns a replay of a trace on a set-up.
func NewReplay(trace Trace, setup *Setup) *Replay {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost, DisableCompression: true}
	return &Replay{
		trace:  trace,
		setup:  setup,
		client: &http.Client{Transport: transport},
		keys:   map[string]string{},
	}
}

// Run sends the trace and returns the report.
func (r *Replay) Run(ctx context.Context) Report {
	defer r.client.CloseIdleConnections()
	before := r.setup.Standin.Usage()
	all := make([]sentRequest, len(r.trace.Entries))
	var wg sync.WaitGroup
	start := time.Now()
	for i, entry := range r.trace.Entries {
		planned := start.Add(time.Duration(entry.At))
		time.Sleep(time.Until(planned))
		wg.Add(1)
		go func() {
			defer wg.Done()
			all[i] = r.send(ctx, i, entry, planned)
		}()
	}
	wg.Wait()
	report := newReport(all, r.trace.Length())
	report.checkJournal(all, r.setup.Standin.Journal.Summary())
	report.recordUsage(before, r.setup.Standin.Usage())
	return report
}

func (r *Replay) send(ctx context.Context, i int, entry Entry, planned time.Time) sentRequest {
	s := sentRequest{entry: entry}
	deadline := planned.Add(time.Duration(entry.Deadline))
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(lateAnswerTimeout))
	defer cancel()
	call := caller.Call{Pipeline: entry.Pipeline, Key: r.key(entry.Key)}
	call.Body = caller.RequestBody{
		Input:    model.Input{Text: entry.text(i), Prefix: entry.Prefix, MaxTokens: entry.Tokens},
		Deadline: deadline.Format(time.RFC3339Nano),
	}
	client := &caller.Client{BaseURL: "http://" + r.setup.nextAddress(), Token: r.setup.tokens[entry.Customer], HTTP: r.client}
	s.result, s.err = client.Send(ctx, call)
	s.latency = time.Since(planned)
	if s.result.Answer != nil {
		s.correct = r.isCorrect(call, s.result.Answer)
	}
	return s
}

// key returns the key that a name stands for, made when the name is first sent.
func (r *Replay) key(name string) string {
	if name == "" {
		return ""
	}
	r.keysMu.Lock()
	defer r.keysMu.Unlock()
	if r.keys[name] == "" {
		r.keys[name] = r.newKey()
	}
	return r.keys[name]
}

func (r *Replay) newKey() string {
	if r.Durable {
		return uuid.NewString()
	}
	return uuid.Must(uuid.NewV7()).String()
}

func (r *Replay) isCorrect(call caller.Call, answer *caller.AnswerBody) bool {
	pipeline, ok := r.setup.Pipeline(call.Pipeline)
	return ok && answer.Output == standin.ExpectedOutput(pipeline, call.Body.Input, call.Body.MaxTokens)
}

func (s sentRequest) attained() bool {
	return s.result.Answer != nil && s.correct && s.latency <= time.Duration(s.entry.Deadline)
}

// charge takes the endpoints' work during the replay from the stand-in's counts.
func (r *Report) recordUsage(before, after standin.Usage) {
	r.TableReads = after.TableReads - before.TableReads
	r.TableWrites = after.TableWrites - before.TableWrites
	r.Pools = map[string]standin.PoolUsage{}
	for pool, u := range after.Pools {
		old := before.Pools[pool]
		r.Pools[pool] = standin.PoolUsage{
			Calls:       u.Calls - old.Calls,
			BusySeconds: u.BusySeconds - old.BusySeconds,
			Tokens:      u.Tokens - old.Tokens,
		}
	}
}
