package kernel

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// customerUseTime is the time constant over which the use of customers is measured.
	customerUseTime = 10 * time.Second
	// maxUsedCustomers bounds the customers whose use is measured. It exceeds the customers of a large fleet.
	maxUsedCustomers = 1024
	// minCustomerUse is the number of requests below which a customer counts as idle and is dropped if there are too many.
	minCustomerUse = 0.01
)

type (
	// CustomerUse is what a customer has used and been refused at one node in about the last ten seconds.
	CustomerUse struct {
		Customer string
		// Busy is the number of endpoints' slots that it has kept busy on average.
		Busy float64
		// Requests and Refusals are its requests, with the refused ones, and its refused requests in a second.
		Requests float64
		Refusals float64
	}

	// CustomerUses measures the use of customers. It changes in place and is not safe for concurrent use.
	CustomerUses struct {
		customers map[string]customerUse
	}

	// customerUse has sums whose terms lose their weight with the time constant customerUseTime, as of at.
	customerUse struct {
		at       time.Time
		busy     float64
		requests float64
		refusals float64
	}
)

// NewCustomerUses returns a measurement without customers.
func NewCustomerUses() *CustomerUses {
	return &CustomerUses{customers: map[string]customerUse{}}
}

// Record records a request that has ended, and how long endpoints worked on it.
func (u *CustomerUses) Record(now time.Time, customer string, busy time.Duration, refused bool) {
	before, known := u.customers[customer]
	if !known && len(u.customers) >= maxUsedCustomers && !u.dropIdle(now) {
		return
	}
	use := before.decayed(now)
	use.busy += busy.Seconds()
	use.requests++
	if refused {
		use.refusals++
	}
	u.customers[customer] = use
}

// Busiest returns at most n customers, those with the most requests and use first.
func (u *CustomerUses) Busiest(now time.Time, n int) []CustomerUse {
	out := make([]CustomerUse, 0, len(u.customers))
	for customer, use := range u.customers {
		use = use.decayed(now)
		if use.requests < minCustomerUse {
			continue
		}
		seconds := customerUseTime.Seconds()
		out = append(out, CustomerUse{Customer: customer, Busy: use.busy / seconds, Requests: use.requests / seconds, Refusals: use.refusals / seconds})
	}
	slices.SortFunc(out, func(a, b CustomerUse) int {
		return cmp.Or(cmp.Compare(b.Busy+b.Requests, a.Busy+a.Requests), cmp.Compare(a.Customer, b.Customer))
	})
	return out[:min(n, len(out))]
}

// dropIdle drops the idle customers and reports whether there were any.
func (u *CustomerUses) dropIdle(now time.Time) bool {
	before := len(u.customers)
	for customer, use := range u.customers {
		if use.decayed(now).requests < minCustomerUse {
			delete(u.customers, customer)
		}
	}
	return len(u.customers) < before
}

func (c customerUse) decayed(now time.Time) customerUse {
	weight := math.Exp(-max(0, now.Sub(c.at).Seconds()) / customerUseTime.Seconds())
	return customerUse{at: now, busy: c.busy * weight, requests: c.requests * weight, refusals: c.refusals * weight}
}
