package placement

import (
	"math"
	"slices"
	"time"
)

const (
	// defaultBase and defaultPerToken are the assumed parameters of a readingModel while fewer than minObservations
	// have been made: an engine that reads 32 tokens a millisecond, the slowest of those measured.
	defaultBase     = 20 * time.Millisecond
	defaultPerToken = time.Millisecond / 32
	minObservations = 64
	// observationDecay is the factor by which each observation reduces the weight of the earlier ones. About the last
	// 500 count, those of some seconds in a busy pool.
	observationDecay = 0.998
	// minPerTokenShare and maxPerTokenShare bound the learned time for a token relative to the default, so that
	// observations with an unknown cause cannot make engines look free or useless.
	minPerTokenShare = 1.0 / 16
	maxPerTokenShare = 16.0
	maxBase          = time.Second
	// outlierFactor bounds an observed time relative to the expected one. A longer time has causes that the model does not
	// know, such as a stopped process.
	outlierFactor = 6.0
	// speedGain is the weight of a new observation in the speed of an engine. After trendLength observations that
	// deviate in the same direction by trendDeviation (in the logarithm, a tenth) or more, the speed has probably
	// changed, and trendGain applies: most engines with three first events a second are then known within two seconds.
	speedGain      = 0.2
	trendGain      = 0.35
	trendLength    = 3
	trendDeviation = 0.1
	// maxLogSpeed bounds the slowness of an engine relative to the pool's median, as a logarithm: a factor of 20.
	maxLogSpeed = 3.0
	// contentionMeanTime is the time over which the mean contention of an engine is taken. It covers some tens of reports
	// of a changing contention.
	contentionMeanTime = 10 * time.Second
	// contentionDwellTime is the time after which a reported contention has changed with a probability of 63 %.
	contentionDwellTime = 600 * time.Millisecond
	// reportLag is the age of the figures in a load report when the endpoint sends it.
	reportLag = 200 * time.Millisecond
)

type (
	// readingModel is the time from the sending of a prompt to its first event at an engine of usual speed without
	// contention: base and perToken for each token that the engine reads before the event. Both are learned by linear
	// regression.
	readingModel struct {
		// base and perToken are in nanoseconds.
		base     float64
		perToken float64
		// The sums are those of the regression, of tokens x and times y in nanoseconds.
		weight, x, y, xx, xy float64
	}

	// engineSpeed is how slow an engine is relative to the median of its pool, apart from its contention.
	engineSpeed struct {
		// log is the logarithm of the slowness, 0 for the median.
		log float64
		// trend counts the last observations that deviated in the same direction; it is negative for faster ones.
		trend int
	}

	// contention is what is known of the contention of an engine.
	contention struct {
		// last is the last report, received at lastAt; zero if there is none.
		last   float64
		lastAt time.Time
		mean   float64
	}
)

func newReadingModel() readingModel {
	return readingModel{base: float64(defaultBase), perToken: float64(defaultPerToken)}
}

// expected returns the time, in nanoseconds, until an engine of a slowness has read a number of tokens.
func (m *readingModel) expected(tokens, slowness float64) float64 {
	return (m.base + tokens*m.perToken) * slowness
}

// observe adds the time that an engine of usual speed without contention would have taken to read a number of tokens.
func (m *readingModel) observe(tokens, elapsed float64) {
	expected := m.expected(tokens, 1)
	if m.weight >= minObservations && elapsed < expected/outlierFactor {
		// The prompt was smaller than its caller stated. A few such sizes would outweigh all others.
		return
	}
	elapsed = min(elapsed, outlierFactor*expected)
	for _, sum := range []*float64{&m.weight, &m.x, &m.y, &m.xx, &m.xy} {
		*sum *= observationDecay
	}
	m.weight++
	m.x += tokens
	m.y += elapsed
	m.xx += tokens * tokens
	m.xy += tokens * elapsed
	variance := m.weight*m.xx - m.x*m.x
	// With too few observations, or prompts of one size, base and perToken cannot be told apart.
	if m.weight < minObservations || variance < 0.01*m.x*m.x {
		return
	}
	perToken := (m.weight*m.xy - m.x*m.y) / variance
	m.perToken = min(max(perToken, minPerTokenShare*float64(defaultPerToken)), maxPerTokenShare*float64(defaultPerToken))
	m.base = min(max((m.y-m.perToken*m.x)/m.weight, 0), float64(maxBase))
}

// scale makes the times of the model longer by a factor.
func (m *readingModel) scale(factor float64) {
	m.base *= factor
	m.perToken *= factor
	m.y *= factor
	m.xy *= factor
}

func (s *engineSpeed) slowness() float64 {
	return math.Exp(s.log)
}

// observe adds the ratio of an observed time to the one expected of the present speed.
func (s *engineSpeed) observe(ratio float64) {
	deviation := math.Log(min(max(ratio, 1/outlierFactor), outlierFactor))
	switch {
	case deviation > trendDeviation:
		s.trend = max(s.trend, 0) + 1
	case deviation < -trendDeviation:
		s.trend = min(s.trend, 0) - 1
	default:
		s.trend = 0
	}
	gain := speedGain
	if s.trend >= trendLength || s.trend <= -trendLength {
		gain = trendGain
	}
	s.log = min(max(s.log+gain*deviation, -maxLogSpeed), maxLogSpeed)
}

// record adds a report that was received at a time.
func (c *contention) record(at time.Time, reported float64) {
	if reported <= 0 || at.Before(c.lastAt) {
		return
	}
	if c.lastAt.IsZero() {
		c.mean = reported
	} else {
		weight := 1 - math.Exp(-float64(at.Sub(c.lastAt))/float64(contentionMeanTime))
		c.mean += weight * (reported - c.mean)
	}
	c.last, c.lastAt = reported, at
}

// estimate returns the expected contention: the last report, with a weight that falls with its age, and the mean.
func (c *contention) estimate(now time.Time) float64 {
	if c.lastAt.IsZero() {
		return 1
	}
	weight := math.Exp(-float64(now.Sub(c.lastAt)+reportLag) / float64(contentionDwellTime))
	return c.mean + weight*(c.last-c.mean)
}

// medianLog returns the median of the logarithms of speeds, which it sorts; 0 if there are none.
func medianLog(logs []float64) float64 {
	if len(logs) == 0 {
		return 0
	}
	slices.Sort(logs)
	return logs[len(logs)/2]
}
