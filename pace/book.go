package pace

import (
	"hash/maphash"
	"math"
	"slices"
	"time"

	"basilstall.example/basilstall/model"
)

const (
	// learnTime is the time constant with which new responses replace earlier ones in the speed of an endpoint: after a
	// change, the estimate has covered 95 % of it within 1.2 s if responses arrive several times a second.
	learnTime = 400 * time.Millisecond
	// maxGain bounds the weight of a single response, whose time includes waiting that the endpoint did not report.
	maxGain = 0.5
	// forgetTime is the time constant with which an estimate returns to that of the pool while the endpoint sends no
	// responses. A slow endpoint that gets no requests is tried again after it.
	forgetTime = 5 * time.Second
	// reportTime is the time constant with which a reported contention loses its weight: contention changes every few
	// hundred milliseconds.
	reportTime = 500 * time.Millisecond
	// meanTime is the time constant of the mean contention of an endpoint.
	meanTime = 2 * time.Second
	// retention is how long after its last response an endpoint is remembered. It bounds the size of a Book, also if
	// endpoints restart all the time.
	retention = 30 * time.Second
	// summaryInterval is how often the medians of the pool are computed.
	summaryInterval = 250 * time.Millisecond
	// kindCount is the number of kinds of requests whose usual times are kept apart; further kinds share them by hash.
	kindCount = 64
	// kindGain is the least weight of a response in the usual time of its kind. It is small, as a single slow endpoint
	// must not change what is usual.
	kindGain = 0.02
	// maxRatio bounds estimates in both directions.
	maxRatio = 1000.0
	// slowFactor is how many times as long as usual work takes at an endpoint that counts as slow for operators, as for
	// batches (package kernel).
	slowFactor = 1.5
)

type (
	// Book holds what a node has learned about the speeds and the contention of a pool's endpoints. It changes in place
	// and is not safe for concurrent use. An incarnation is known by its identity only, so that nothing that was learned
	// of an earlier process applies to it.
	Book struct {
		endpoints map[string]*entry
		seed      maphash.Seed
		kinds     [kindCount]kind
		// medianSpeed and medianContention are those of the known endpoints as of summarizedAt. Each endpoint counts once,
		// however many responses it sent.
		medianSpeed      float64
		medianContention float64
		summarizedAt     time.Time
		// speeds and contentions are reused by summarize.
		speeds, contentions []float64
	}

	// Response is a successful response of an endpoint.
	Response struct {
		// Kind names requests that take about equally long, such as a stage or a route.
		Kind string
		// Elapsed is the time from sending the request to the response, or another time that is proportional to the
		// slowness of the endpoint.
		Elapsed time.Duration
		// Waited is true if Elapsed may include waiting for a slot.
		Waited bool
		// Load is the load that came with the response.
		Load model.Load
	}

	// Estimate is the expected slowness of an endpoint.
	Estimate struct {
		// Speed is how long work takes at the usual contention relative to the median of the pool: 2 is twice as long.
		Speed float64
		// Contention is the expected contention, see model.Load.
		Contention float64
	}

	// entry is what is known of one incarnation of an endpoint.
	entry struct {
		// speed is the natural logarithm of the time that work takes without contention, relative to what is usual for
		// its kind, as of speedAt; unknown while speedAt is zero.
		speed   float64
		speedAt time.Time
		// contention is the last report, mean the mean of the reports, both as of contentionAt; unknown while that is zero.
		contention   float64
		mean         float64
		contentionAt time.Time
	}

	// kind is the natural logarithm of the usual time of a kind of requests in seconds, from a number of responses.
	kind struct {
		usual     float64
		responses int
	}
)

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{endpoints: map[string]*entry{}, seed: maphash.MakeSeed(), medianContention: 1}
}

// Slowness is how long work takes relative to an endpoint of median speed at its usual contention. It is always positive.
func (e Estimate) Slowness() float64 {
	return e.Speed * e.Contention
}

// RecordContention records the contention that an endpoint has reported; 0 if it has reported none.
func (b *Book) RecordContention(now time.Time, incarnation string, contention float64) {
	if !(contention > 0) {
		return
	}
	contention = clampRatio(contention)
	e := b.entry(incarnation)
	mean := b.meanOf(now, e)
	gain := maxGain
	if !e.contentionAt.IsZero() {
		gain = min(maxGain, 1-decay(now.Sub(e.contentionAt), meanTime))
	}
	e.contention, e.contentionAt = contention, now
	e.mean = mean + gain*(contention-mean)
}

// RecordResponse records the time of a response, and the contention that was reported with it. An endpoint that reports
// none counts as one with the usual contention; its speed then has all of its slowness.
func (b *Book) RecordResponse(now time.Time, incarnation string, r Response) {
	if !(r.Load.Contention > 0) {
		r.Load.Contention = 1
	}
	b.RecordContention(now, incarnation, r.Load.Contention)
	if r.Elapsed <= 0 {
		return
	}
	e := b.entry(incarnation)
	service := r.serviceTime(r.Load.Contention)
	k := b.kind(r.Kind)
	if k.responses == 0 {
		k.usual = service - b.speedOf(now, e)
	}
	deviation := service - k.usual - b.speedOf(now, e)
	k.responses++
	k.usual += max(kindGain, 1/float64(k.responses+1)) * deviation
	b.learn(now, e, deviation)
}

// RecordUnanswered records that a response had not arrived after r.Elapsed, when the request was given up. It counts only
// if the endpoint is slower than it was estimated to be. Load is the last reported one.
func (b *Book) RecordUnanswered(now time.Time, incarnation string, r Response) {
	k := b.kind(r.Kind)
	if r.Elapsed <= 0 || k.responses == 0 {
		return
	}
	contention := b.Estimate(now, incarnation).Contention
	e := b.entry(incarnation)
	if deviation := r.serviceTime(contention) - k.usual - b.speedOf(now, e); deviation > 0 {
		b.learn(now, e, deviation)
	}
}

// Estimate returns the estimate for an endpoint. An unknown one has the medians of the pool.
func (b *Book) Estimate(now time.Time, incarnation string) Estimate {
	b.summarize(now)
	e := b.endpoints[incarnation]
	if e == nil {
		return Estimate{Speed: 1, Contention: b.medianContention}
	}
	contention := b.meanOf(now, e)
	if !e.contentionAt.IsZero() {
		contention += decay(now.Sub(e.contentionAt), reportTime) * (e.contention - contention)
	}
	return Estimate{Speed: clampRatio(math.Exp(b.speedOf(now, e) - b.medianSpeed)), Contention: contention}
}

// Forget drops what is known of an endpoint.
func (b *Book) Forget(incarnation string) {
	delete(b.endpoints, incarnation)
}

// Len returns the number of known endpoints.
func (b *Book) Len() int {
	return len(b.endpoints)
}

// Slow returns the number of endpoints that take slowFactor times as long as usual, or longer.
func (b *Book) Slow(now time.Time) int {
	slow := 0
	for incarnation := range b.endpoints {
		if b.Estimate(now, incarnation).Slowness() >= slowFactor*b.medianContention {
			slow++
		}
	}
	return slow
}

// serviceTime returns the logarithm of how long the request would have taken, in seconds, without contention and waiting.
// The requests that wait when the response is sent are as many, on average, as waited before it.
func (r Response) serviceTime(contention float64) float64 {
	service := r.Elapsed.Seconds()
	if r.Waited {
		service /= 1 + float64(max(0, r.Load.Queued))/float64(max(1, r.Load.Slots))
	}
	if contention > 0 {
		service /= clampRatio(contention)
	}
	return math.Log(service)
}

func (b *Book) kind(name string) *kind {
	return &b.kinds[maphash.String(b.seed, name)%kindCount]
}

// learn changes the speed of an endpoint by a share of the deviation of a response from it.
func (b *Book) learn(now time.Time, e *entry, deviation float64) {
	gain := maxGain
	if !e.speedAt.IsZero() {
		gain = min(maxGain, 1-decay(now.Sub(e.speedAt), learnTime))
	}
	e.speed, e.speedAt = b.speedOf(now, e)+gain*deviation, now
}

func (b *Book) entry(incarnation string) *entry {
	e := b.endpoints[incarnation]
	if e == nil {
		e = &entry{}
		b.endpoints[incarnation] = e
	}
	return e
}

// speedOf returns the logarithm of an endpoint's speed, which approaches the pool's median with its age.
func (b *Book) speedOf(now time.Time, e *entry) float64 {
	if e.speedAt.IsZero() {
		return b.medianSpeed
	}
	return b.medianSpeed + decay(now.Sub(e.speedAt), forgetTime)*(e.speed-b.medianSpeed)
}

// meanOf returns the mean contention of an endpoint, which approaches the pool's median with its age.
func (b *Book) meanOf(now time.Time, e *entry) float64 {
	if e.contentionAt.IsZero() {
		return b.medianContention
	}
	return b.medianContention + decay(now.Sub(e.contentionAt), forgetTime)*(e.mean-b.medianContention)
}

// summarize computes the medians of the known endpoints, and drops those that have sent
// no response for long.
func (b *Book) summarize(now time.Time) {
	if now.Sub(b.summarizedAt) < summaryInterval {
		return
	}
	b.summarizedAt = now
	b.speeds, b.contentions = b.speeds[:0], b.contentions[:0]
	for incarnation, e := range b.endpoints {
		if now.Sub(e.speedAt) >= retention && now.Sub(e.contentionAt) >= retention {
			delete(b.endpoints, incarnation)
			continue
		}
		if !e.speedAt.IsZero() {
			b.speeds = append(b.speeds, e.speed)
		}
		if !e.contentionAt.IsZero() {
			b.contentions = append(b.contentions, e.mean)
		}
	}
	b.medianSpeed, b.medianContention = median(b.speeds, 0), median(b.contentions, 1)
}

// median returns the median of values, which it sorts; the lower one of two, as an endpoint that is unknown must be tried
// to become known. It returns fallback if there are none.
func median(values []float64, fallback float64) float64 {
	if len(values) == 0 {
		return fallback
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// decay returns the weight of something of an age: 1 for the present, falling by e for each time constant.
func decay(age, timeConstant time.Duration) float64 {
	return math.Exp(-max(0, float64(age)) / float64(timeConstant))
}

func clampRatio(ratio float64) float64 {
	return min(maxRatio, max(1/maxRatio, ratio))
}
