package scenario_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"basilstall.example/basilstall/caller"
	"basilstall.example/basilstall/model"
)

type (
	// loadPlan says what a load sends.
	loadPlan struct {
		pipeline string
		token    string
		customer string
		// count is how many requests (or keys) are sent, by how many workers.
		count   int
		workers int
		// keys is "" for none, "v7" for UUIDv7, "v4" for keys without a time.
		keyForm string
		// fan sends each key to all nodes at once instead of to one.
		fanOut bool
		// tries bounds the tries of one key; each goes to another node.
		maxAttempts    int
		maxTokens      int
		stream         bool
		numberAttempts bool
		pause          time.Duration
	}

	// outcome is all that the callers learned of one request or key.
	outcome struct {
		text      string
		key       string
		ids       []string
		notRunIDs []string
		verdicts  []model.Verdict
		reasons   []model.Reason
		answers   []string
		// cut counts tries that ended without an answer or refusal.
		cutAttempts int
		// gaps is true if a stream had a gap or a repeat.
		streamGaps bool
	}

	// load is a load that runs or ran.
	load struct {
		plan     loadPlan
		done     chan struct{}
		sent     atomic.Int64
		ended    atomic.Int64
		mu       sync.Mutex
		outcomes []*outcome
	}
)

// startLoad sends requests in the background; the addresses are asked for before each try, so
// that a balancer's view of the nodes is followed.
func startLoad(plan loadPlan, addresses func() []string) *load {
	l := &load{plan: plan, done: make(chan struct{})}
	client := &http.Client{
		Timeout:   20 * time.Second,
		Transport: &http.Transport{MaxIdleConnsPerHost: plan.workers * 2},
	}
	work := make(chan int)
	var wg sync.WaitGroup
	for range plan.workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range work {
				l.sendOne(client, addresses, i)
				time.Sleep(plan.pause)
			}
		}()
	}
	go func() {
		for i := range plan.count {
			work <- i
		}
		close(work)
		wg.Wait()
		client.CloseIdleConnections()
		close(l.done)
	}()
	return l
}

func (l *load) sendOne(client *http.Client, addresses func() []string, i int) {
	o := &outcome{text: "load " + l.plan.pipeline + " " + uuid.NewString()}
	switch l.plan.keyForm {
	case "v7":
		o.key = uuid.Must(uuid.NewV7()).String()
	case "v4":
		o.key = uuid.NewString()
	}
	l.sent.Add(1)
	if l.plan.fanOut {
		var wg sync.WaitGroup
		for _, address := range addresses() {
			wg.Add(1)
			go func() {
				defer wg.Done()
				l.attempt(client, address, o, 0)
			}()
		}
		wg.Wait()
	}
	l.sendUntilRan(client, addresses, o, i)
	l.ended.Add(1)
	l.mu.Lock()
	l.outcomes = append(l.outcomes, o)
	l.mu.Unlock()
}

// retry tries until the request ran, each time through another node.
func (l *load) sendUntilRan(client *http.Client, addresses func() []string, o *outcome, i int) {
	for attempt := range l.plan.maxAttempts {
		if o.ran() {
			return
		}
		nodes := addresses()
		if len(nodes) == 0 {
			return
		}
		address := nodes[(i+attempt)%len(nodes)]
		number := 0
		if l.plan.numberAttempts {
			number = attempt + 1
		}
		wait := l.attempt(client, address, o, number)
		if !o.ran() && attempt+1 < l.plan.maxAttempts {
			time.Sleep(wait + time.Duration(rand.IntN(20))*time.Millisecond)
		}
	}
}

// try sends the request once and returns when to come back.
func (l *load) attempt(client *http.Client, address string, o *outcome, number int) time.Duration {
	next := 0
	gaps := false
	call := caller.Call{
		Pipeline: l.plan.pipeline, Key: o.key, Attempt: number,
		Body: caller.RequestBody{Input: model.Input{Text: o.text, MaxTokens: l.plan.maxTokens}, Stream: l.plan.stream},
		OnToken: func(t caller.TokenBody) {
			gaps = gaps || t.Index != next
			next++
		},
	}
	c := &caller.Client{BaseURL: "http://" + address, Token: l.plan.token, HTTP: client}
	result, err := c.Send(context.Background(), call)
	l.mu.Lock()
	defer l.mu.Unlock()
	o.streamGaps = o.streamGaps || gaps
	switch {
	case err != nil:
		o.cutAttempts++
		o.verdicts = append(o.verdicts, model.MayHaveRun)
		o.reasons = append(o.reasons, "Cut")
		return 100 * time.Millisecond
	case result.Answer != nil:
		o.ids = append(o.ids, result.Answer.Request)
		o.verdicts = append(o.verdicts, model.Ran)
		o.answers = append(o.answers, result.Answer.Output)
		o.reasons = append(o.reasons, "")
		return 0
	default:
		r := result.Refusal
		o.ids = append(o.ids, r.Request)
		o.verdicts = append(o.verdicts, r.Verdict)
		o.reasons = append(o.reasons, r.Reason)
		if r.Verdict == model.NotRun {
			o.notRunIDs = append(o.notRunIDs, r.Request)
		}
		return time.Duration(r.RetryAfterMilliseconds) * time.Millisecond
	}
}

func (o *outcome) ran() bool {
	return slices.Contains(o.verdicts, model.Ran)
}

func (o *outcome) refused() bool {
	return slices.ContainsFunc(o.reasons, func(r model.Reason) bool { return r != "" })
}
