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
	// loadPlan configures a load.
	loadPlan struct {
		pipeline string
		// token is the API token of the customer, customer the name as TEAM/CUSTOMER.
		token    string
		customer string
		// count is the number of requests. workers is the number of goroutines that send them.
		count   int
		workers int
		// keyForm is "" for no idempotency keys, "v7" for UUIDv7, "v4" for keys without a time.
		keyForm string
		// fanOut sends each request to all nodes in parallel before the attempts with one node each.
		fanOut bool
		// maxAttempts limits the attempts for one request. Each goes to another node.
		maxAttempts int
		maxTokens   int
		stream      bool
		// numberAttempts sends the number of the attempt with each request.
		numberAttempts bool
		// pause is how long a worker waits after each request.
		pause time.Duration
	}

	// outcome collects the results of all attempts of one request.
	outcome struct {
		// text is the input of the request, unique to it.
		text string
		// key is the idempotency key; empty for none.
		key string
		ids []string
		// notRunIDs are the request IDs of the attempts that were refused with the verdict NotRun.
		notRunIDs []string
		verdicts  []model.Verdict
		// reasons holds an entry for each attempt: the reason of the refusal, empty for an answer, and Cut if there was
		// neither.
		reasons []model.Reason
		answers []string
		// cutAttempts is the number of attempts that ended without an answer or refusal.
		cutAttempts int
		// streamGaps is true if the tokens of a stream had a gap or a repeat.
		streamGaps bool
	}

	// load is a series of requests that is being sent or has ended. done is closed when it ends; ended is the number of
	// requests that have ended.
	load struct {
		plan  loadPlan
		done  chan struct{}
		sent  atomic.Int64
		ended atomic.Int64
		// mu protects outcomes, and the outcome of each request while its attempts run.
		mu       sync.Mutex
		outcomes []*outcome
	}
)

// startLoad sends requests in the background. It calls addresses before each attempt, so that changes by the balancer
// take effect at once.
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

// sendOne sends the request with index i and records its outcome.
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

// sendUntilRan sends a request up to maxAttempts times until it has run, each time through another node.
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
		attemptNumber := 0
		if l.plan.numberAttempts {
			attemptNumber = attempt + 1
		}
		retryAfter := l.attempt(client, address, o, attemptNumber)
		if !o.ran() && attempt+1 < l.plan.maxAttempts {
			time.Sleep(retryAfter + time.Duration(rand.IntN(20))*time.Millisecond)
		}
	}
}

// attempt sends a request once and returns the delay before the next attempt.
func (l *load) attempt(client *http.Client, address string, o *outcome, attemptNumber int) time.Duration {
	nextIndex := 0
	streamGaps := false
	call := caller.Call{
		Pipeline: l.plan.pipeline, Key: o.key, Attempt: attemptNumber,
		Body: caller.RequestBody{Input: model.Input{Text: o.text, MaxTokens: l.plan.maxTokens}, Stream: l.plan.stream},
		OnToken: func(t caller.TokenBody) {
			streamGaps = streamGaps || t.Index != nextIndex
			nextIndex++
		},
	}
	c := &caller.Client{BaseURL: "http://" + address, Token: l.plan.token, HTTP: client}
	result, err := c.Send(context.Background(), call)
	l.mu.Lock()
	defer l.mu.Unlock()
	o.streamGaps = o.streamGaps || streamGaps
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

// ran reports whether an attempt was answered.
func (o *outcome) ran() bool {
	return slices.Contains(o.verdicts, model.Ran)
}

// refused reports whether an attempt was refused or ended without an answer or refusal.
func (o *outcome) refused() bool {
	return slices.ContainsFunc(o.reasons, func(r model.Reason) bool { return r != "" })
}
