package standby

import (
	"maps"
	"slices"
	"time"
)

// SilentAfter is how long all attempts may bring nothing before a further one may begin. Callers give a stream up after 2 s
// without an event, or later.
const SilentAfter = 1500 * time.Millisecond

// Why no further attempt may begin.
const (
	// ByRefusal is a refusal of the node itself, of the last attempt.
	ByRefusal Bar = "Refusal"
	// ByTrial is a request that may run once only, as it may crash endpoints.
	ByTrial Bar = "Trial"
	// ByInputs are results of stages that are gone for every endpoint.
	ByInputs Bar = "Inputs"
	// ByRoute is a route whose requests may run once only.
	ByRoute Bar = "Route"
	// ByPosition is a stream of which nobody knows after which event, or at which version, it has to go on.
	ByPosition Bar = "Position"
	// ByAttempts is a request that was sent to as many endpoints as its route allows.
	ByAttempts Bar = "Attempts"
	// ByBudget is a retry budget that is used up.
	ByBudget Bar = "Budget"
	// ByEndpoints is a pool without an endpoint that the request may be sent to.
	ByEndpoints Bar = "Endpoints"
)

type (
	// Bar is why no further attempt may begin; empty if one may.
	Bar string

	// Request is what is known of a request that may need a further attempt.
	Request struct {
		// Repeatable is true if the route allows the request to run more than once, MayHaveRun if an endpoint may have begun to.
		Repeatable bool
		MayHaveRun bool
		// Trial is true if it may run once only for now.
		Trial bool
		// InputsGone is true if no further endpoint can get the results of its stages.
		InputsGone bool
		// Begun is true if the caller has a part of the answer, Position if it is known where the rest begins.
		Begun    bool
		Position bool
		// Attempts is the number of endpoints that it was sent to, MaxAttempts how many its route allows.
		Attempts    int
		MaxAttempts int
	}

	// Race is the state of the attempts at one request. The zero value has none.
	Race struct {
		// running holds when each running attempt was begun, by its number.
		running map[int]time.Time
		// heardAt is when an attempt last brought something for the caller, or was begun, or when a further attempt was last
		// considered.
		heardAt time.Time
	}
)

// Barred returns why no further attempt at a request may begin, apart from the budget and the endpoints.
func (r Request) Barred() Bar {
	switch {
	case r.InputsGone:
		return ByInputs
	case r.MayHaveRun && !r.Repeatable:
		return ByRoute
	case r.MayHaveRun && r.Trial:
		return ByTrial
	case r.Begun && !r.Position:
		return ByPosition
	case r.Attempts >= r.MaxAttempts:
		return ByAttempts
	default:
		return ""
	}
}

// WithBegun returns the race after the attempt with a number was begun.
func (r Race) WithBegun(now time.Time, number int) Race {
	r.running = maps.Clone(r.running)
	if r.running == nil {
		r.running = map[int]time.Time{}
	}
	r.running[number], r.heardAt = now, now
	return r
}

// WithEnded returns the race after an attempt has ended.
func (r Race) WithEnded(number int) Race {
	r.running = maps.Clone(r.running)
	delete(r.running, number)
	return r
}

// WithHeard returns the race after an attempt has brought something for the caller, and the attempts that it has overtaken, in
// order: they are to be dropped before the caller gets it.
func (r Race) WithHeard(now time.Time, number int) (race Race, overtaken []int) {
	r.heardAt = now
	if len(r.running) < 2 {
		return r, nil
	}
	for other := range r.running {
		if other != number {
			overtaken = append(overtaken, other)
		}
	}
	slices.Sort(overtaken)
	r.running = map[int]time.Time{number: r.running[number]}
	return r, overtaken
}

// WithConsidered returns the race after a further attempt was considered, whether or not it was begun.
func (r Race) WithConsidered(now time.Time) Race {
	r.heardAt = now
	return r
}

// Running returns the number of attempts that run.
func (r Race) Running() int {
	return len(r.running)
}

// Silence returns for how long the attempts have brought nothing.
func (r Race) Silence(now time.Time) time.Duration {
	return now.Sub(r.heardAt)
}

// DueIn returns when a further attempt is to be considered because those that run have been silent for the given time; it is
// negative if that is past.
func (r Race) DueIn(now time.Time, silentAfter time.Duration) time.Duration {
	return silentAfter - r.Silence(now)
}
