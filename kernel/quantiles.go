package kernel

import (
	"math"
	"time"
)

const (
	quantileBuckets = 72
	quantileFloor   = 100 * time.Microsecond
	quantileGrowth  = 1.2
	// quantileDecayCount is the count at which all buckets are halved, so that old observations lose weight.
	quantileDecayCount = 512
)

// Quantiles estimates quantiles of recent durations from 100 µs to about 50 s in fixed memory, with an error of at most
// a fifth. The methods change it in place and must not be called concurrently.
type Quantiles struct {
	counts [quantileBuckets]uint32
	total  uint32
}

// Observe adds a duration.
func (q *Quantiles) Observe(d time.Duration) {
	q.counts[quantileBucket(d)]++
	q.total++
	if q.total < quantileDecayCount {
		return
	}
	q.total = 0
	for i := range q.counts {
		q.counts[i] /= 2
		q.total += q.counts[i]
	}
}

// Count returns the total weight of the observations.
func (q *Quantiles) Count() int {
	return int(q.total)
}

// Quantile returns the upper bound of the bucket that holds the quantile p, or the fallback while there are too few
// observations.
func (q *Quantiles) Quantile(p float64, fallback time.Duration) time.Duration {
	const minObservations = 8
	if q.total < minObservations {
		return fallback
	}
	rank := uint32(math.Ceil(p * float64(q.total)))
	var cumulative uint32
	for i, n := range q.counts {
		cumulative += n
		if cumulative >= rank {
			return quantileBound(i)
		}
	}
	return quantileBound(quantileBuckets - 1)
}

func quantileBucket(d time.Duration) int {
	if d <= quantileFloor {
		return 0
	}
	i := int(math.Log(float64(d)/float64(quantileFloor))/math.Log(quantileGrowth)) + 1
	return min(i, quantileBuckets-1)
}

func quantileBound(i int) time.Duration {
	return time.Duration(float64(quantileFloor) * math.Pow(quantileGrowth, float64(i)))
}
