package node

import (
	"sync"
	"time"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// ratesSweep is how many customers' shares are kept before the idle ones are dropped.
const ratesSweep = 64

// rates holds the node's shares of the customers' fleet-wide rates. A customer that idles
// has no entry.
type rates struct {
	mu     sync.Mutex
	shares map[string]kernel.RateShare
}

func newRates() *rates {
	return &rates{shares: map[string]kernel.RateShare{}}
}

// admit counts a request against its customer's rate.
func (r *rates) admit(now time.Time, req model.Request, settings kernel.Settings, nodes int) *model.Refusal {
	customer, _ := settings.Customer(req.Team, req.Customer)
	if customer.RequestsPerSecond == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	id := req.Account()
	if _, known := r.shares[id]; !known && len(r.shares) >= ratesSweep {
		r.sweep(now)
	}
	share, ok, wait := r.shares[id].WithRequest(now, customer.RequestsPerSecond, nodes)
	r.shares[id] = share
	if ok {
		return nil
	}
	return model.NewRefusal(model.NotRun, model.CustomerLimit, wait, "the customer's rate is used up")
}

func (r *rates) sweep(now time.Time) {
	for id, share := range r.shares {
		if share.Idle(now) {
			delete(r.shares, id)
		}
	}
}
