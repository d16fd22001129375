package share

import (
	"math"
	"slices"
	"time"
)

const (
	// ledgerWindow is the time over which requested and served work is averaged: a customer that was idle has its share
	// within a second.
	ledgerWindow = time.Second
	// ledgerInterval is how often the capacity is divided anew: shorter than any call, so that a burst is noticed while its
	// first requests wait, and long enough that 740 customers cost little.
	ledgerInterval = 50 * time.Millisecond
	// creditTime is how long a flow saves up capacity that it does not use, about a call. Credit of a second would let all
	// flows that begin together delay lower ranks by as much.
	creditTime = 250 * time.Millisecond
	// minRankPart is the part of its demand that a rank gets over floorWindow, as far as its customer's share allows it.
	minRankPart = 0.25
	// floorWindow is the time over which a rank keeps minRankPart of its demand. In a shorter burst, higher ranks may get
	// all of the share: callers notice a kind of request that fails for long, and need the urgent ones most in a burst.
	floorWindow = 10 * time.Second
	// maxFloorPart bounds the part of a customer's share that is divided regardless of rank. Without the bound, a customer
	// with a share below minRankPart of its demand would have no priorities.
	maxFloorPart = 0.75
	// idleRate is the requested work below which a flow is dropped, relative to the capacity.
	idleRate = 1e-4
	// roundingSlack is the relative difference up to which a part counts as all of its demand.
	roundingSlack = 1e-6
)

type (
	// Flow identifies the requests of one rank of one customer. Requests without a customer form one more customer.
	Flow struct {
		Customer string
		Rank     int
	}

	// Standing is what a ledger knows of a flow. Work is in seconds of an endpoint, rates are per second.
	Standing struct {
		// Share and Use are the customer's: the rate that its share allows and the one at which it was served lately.
		Share float64
		Use   float64
		// Demand is the rate at which the flow requests work, Rate the one that its customer's share leaves for its rank.
		Demand float64
		Rate   float64
		// Limited is true if the flow requests more than Rate. Credit is then the work that it may have served before it
		// is beyond its share; negative if it had more than Rate lately.
		Limited bool
		Credit  float64
	}

	// Ledger measures the work that customers request of one pool and are served, and divides the capacity among those
	// that ask, by weighted max-min. A customer's part goes to its highest ranks; a rank that had less than minRankPart of
	// its demand over floorWindow gets that before them, as far as maxFloorPart of the share allows it. It changes in
	// place and is guarded by its owner.
	Ledger struct {
		customers map[string]*customerAccount
		// served is all work served lately, decayed over ledgerWindow as of decayedAt.
		served    float64
		decayedAt time.Time
		// capacity was divided last at dividedAt.
		capacity  float64
		dividedAt time.Time
		// scratch and demands are reused by Update.
		scratch []*customerAccount
		demands []Demand
	}

	customerAccount struct {
		// served is as in Ledger.
		served float64
		share  float64
		weight float64
		// ranks has an account for each rank with requests, the highest first.
		ranks []rankAccount
	}

	rankAccount struct {
		rank int
		// requested is the work requested lately, decayed over ledgerWindow as of Ledger.decayedAt.
		requested float64
		// asked and done are the work requested and served over floorWindow, decayed likewise.
		asked   float64
		done    float64
		rate    float64
		limited bool
		credit  float64
	}
)

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{customers: map[string]*customerAccount{}}
}

// Request records that a flow requested work. Weight is the customer's.
func (l *Ledger) Request(now time.Time, f Flow, weight, work float64) {
	l.decay(now)
	customer := l.customers[f.Customer]
	if customer == nil {
		customer = &customerAccount{}
		l.customers[f.Customer] = customer
	}
	customer.weight = weight
	at, known := slices.BinarySearchFunc(customer.ranks, f.Rank, rankAccount.compareRank)
	if !known {
		customer.ranks = slices.Insert(customer.ranks, at, rankAccount{rank: f.Rank})
	}
	customer.ranks[at].requested += work
	customer.ranks[at].asked += work
}

// Serve records that work of a flow was started, or that it was not done after all if work is negative.
func (l *Ledger) Serve(now time.Time, f Flow, work float64) {
	l.decay(now)
	l.served = max(0, l.served+work)
	customer := l.customers[f.Customer]
	if customer == nil {
		return
	}
	customer.served = max(0, customer.served+work)
	if account := customer.find(f.Rank); account != nil {
		account.done = max(0, account.done+work)
		// Work beyond the rate, done while others left capacity, counts against the flow for a window at most. A single
		// group that exceeds the window counts in full.
		account.credit = max(account.credit, -account.rate*ledgerWindow.Seconds()) - work
	}
}

// Update divides the capacity among the flows, unless it was divided within ledgerInterval. Capacity is in seconds of an
// endpoint per second.
func (l *Ledger) Update(now time.Time, capacity float64) {
	elapsed := now.Sub(l.dividedAt)
	if l.dividedAt.IsZero() {
		elapsed = 0
	} else if elapsed < ledgerInterval {
		return
	}
	l.dividedAt = now
	l.capacity = capacity
	l.decay(now)
	l.scratch, l.demands = l.scratch[:0], l.demands[:0]
	for _, customer := range l.customers {
		l.scratch = append(l.scratch, customer)
		l.demands = append(l.demands, Demand{Amount: customer.requested(), Weight: customer.weight})
	}
	for i, part := range Divide(capacity*ledgerWindow.Seconds(), l.demands) {
		l.scratch[i].divide(elapsed, part)
	}
}

// Standing returns what is known of a flow. A flow that has not requested anything lately is within its share.
func (l *Ledger) Standing(f Flow) Standing {
	customer := l.customers[f.Customer]
	if customer == nil {
		return Standing{}
	}
	out := Standing{Share: customer.share, Use: customer.served / ledgerWindow.Seconds()}
	if account := customer.find(f.Rank); account != nil {
		out.Demand = account.requested / ledgerWindow.Seconds()
		out.Rate, out.Limited, out.Credit = account.rate, account.limited, account.credit
	}
	return out
}

// Served returns the rate at which work was served lately.
func (l *Ledger) Served() float64 {
	return l.served / ledgerWindow.Seconds()
}

// Requested returns the rate at which all flows requested work lately.
func (l *Ledger) Requested() float64 {
	total := 0.0
	for _, customer := range l.customers {
		total += customer.requested()
	}
	return total / ledgerWindow.Seconds()
}

// Promised returns the rate that the flows may use in total.
func (l *Ledger) Promised() float64 {
	total := 0.0
	for _, customer := range l.customers {
		total += customer.share
	}
	return total
}

// Customers returns the number of customers that have requested work lately.
func (l *Ledger) Customers() int {
	return len(l.customers)
}

// decay reduces all sums by the time that has passed, and drops the flows that are idle, unless it was done within
// ledgerInterval.
func (l *Ledger) decay(now time.Time) {
	elapsed := now.Sub(l.decayedAt)
	if elapsed < ledgerInterval {
		return
	}
	l.decayedAt = now
	left := math.Exp(-elapsed.Seconds() / ledgerWindow.Seconds())
	leftOfFloor := math.Exp(-elapsed.Seconds() / floorWindow.Seconds())
	l.served *= left
	for name, customer := range l.customers {
		customer.served *= left
		for i := range customer.ranks {
			customer.ranks[i].requested *= left
			customer.ranks[i].asked *= leftOfFloor
			customer.ranks[i].done *= leftOfFloor
		}
		customer.ranks = slices.DeleteFunc(customer.ranks, func(a rankAccount) bool { return a.requested < idleRate*l.capacity })
		if len(customer.ranks) == 0 {
			delete(l.customers, name)
		}
	}
}

// divide divides a customer's part of a window among its ranks: first to those that had less than minRankPart of their
// demand over floorWindow, as much as they keep, then the rest by rank.
func (c *customerAccount) divide(elapsed time.Duration, part float64) {
	c.share = part / ledgerWindow.Seconds()
	floors := 0.0
	for _, account := range c.ranks {
		floors += account.floor()
	}
	scale := 1.0
	if floors > maxFloorPart*part {
		scale = maxFloorPart * part / floors
	}
	rest := part - scale*floors
	for i := range c.ranks {
		account := &c.ranks[i]
		floor := scale * account.floor()
		own := min(account.requested, floor+max(0, rest))
		rest -= own - floor
		account.rate = own / ledgerWindow.Seconds()
		account.limited = own < account.requested*(1-roundingSlack)
		most := account.rate * creditTime.Seconds()
		if account.limited {
			account.credit = min(most, account.credit+account.rate*elapsed.Seconds())
		} else {
			account.credit = most
		}
	}
}

// floor returns the work in a window that the rank gets before higher ranks of its customer.
func (a rankAccount) floor() float64 {
	if a.done >= minRankPart*a.asked {
		return 0
	}
	return minRankPart * a.requested
}

// requested returns the work that a customer requested lately, in all ranks.
func (c *customerAccount) requested() float64 {
	total := 0.0
	for _, account := range c.ranks {
		total += account.requested
	}
	return total
}

// find returns the account of a rank, or nil.
func (c *customerAccount) find(rank int) *rankAccount {
	at, known := slices.BinarySearchFunc(c.ranks, rank, rankAccount.compareRank)
	if !known {
		return nil
	}
	return &c.ranks[at]
}

func (a rankAccount) compareRank(rank int) int {
	return a.rank - rank
}
