package node

import (
	"sync"
	"time"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// shownCustomers is the number of customers in the status of the node.
const shownCustomers = 10

// customerUses makes the measured use of customers safe for concurrent use. Requests that another node ran count there.
type customerUses struct {
	mu   sync.Mutex
	uses *kernel.CustomerUses
}

func newCustomerUses() *customerUses {
	return &customerUses{uses: kernel.NewCustomerUses()}
}

func (c *customerUses) record(now time.Time, account string, stages []model.StageTiming, refused bool) {
	var busy time.Duration
	for _, s := range stages {
		busy += s.Busy
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.uses.Record(now, account, busy, refused)
}

func (c *customerUses) busiest(now time.Time) []kernel.CustomerUse {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.uses.Busiest(now, shownCustomers)
}
