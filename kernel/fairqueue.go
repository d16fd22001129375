package kernel

import (
	"container/heap"
	"time"
)

// idleTagSlack is how many tags of idle customers are kept, beyond two for each customer that waits, before the old
// ones are dropped.
const idleTagSlack = 16

type (
	// Waiter is a stage call that waits for capacity in a pool.
	Waiter struct {
		Customer string
		// Weight is the customer's weight; below 1 it counts as 1.
		Weight int
		// Cost is the expected work in seconds of an endpoint.
		Cost float64
		// Deadline orders the waiters of one customer.
		Deadline time.Time
		// LatestStart is the time after which a start is useless.
		LatestStart time.Time
		// Ready is called once, when the waiter is taken from the queue.
		Ready func()

		index int
		queue *customerQueue
	}

	// FairQueue shares a pool between customers by start-time fair queueing, weighted and work-conserving, and
	// serves the waiters of one customer by earliest deadline. The queue of a customer without waiters is dropped.
	FairQueue struct {
		customers map[string]*customerQueue
		// idleTags keeps the start tags of customers that ran out of waiters while ahead of the virtual time. A tag
		// that is not ahead has no effect and is dropped.
		idleTags map[string]float64
		// virtualTime is the start tag of the customer last served; it never decreases.
		virtualTime float64
		length      int
		cost        float64
	}

	customerQueue struct {
		name    string
		waiters waiterHeap
		// startTag is the virtual time at which the customer's next waiter may start.
		startTag float64
		// cost is the expected work of its waiters.
		cost float64
		// weight is that of the last waiter pushed; at least 1.
		weight float64
	}

	waiterHeap []*Waiter
)

// NewFairQueue returns an empty queue.
func NewFairQueue() *FairQueue {
	return &FairQueue{customers: map[string]*customerQueue{}, idleTags: map[string]float64{}}
}

// Len returns the number of waiters.
func (q *FairQueue) Len() int {
	return q.length
}

// Cost returns the expected work of all waiters.
func (q *FairQueue) Cost() float64 {
	return q.cost
}

// Push adds a waiter.
func (q *FairQueue) Push(w *Waiter) {
	c := q.customers[w.Customer]
	if c == nil {
		c = &customerQueue{name: w.Customer, startTag: max(q.virtualTime, q.idleTags[w.Customer])}
		q.customers[w.Customer] = c
		delete(q.idleTags, w.Customer)
	}
	w.queue = c
	c.weight = w.effectiveWeight()
	c.cost += w.Cost
	heap.Push(&c.waiters, w)
	q.length++
	q.cost += w.Cost
}

// CostAhead returns the expected work that would be done before a waiter that came now: the waiters of its own
// customer whose deadlines are not later, and of each other customer as much as its weight allows in the same time.
func (q *FairQueue) CostAhead(w Waiter) float64 {
	own := 0.0
	if c := q.customers[w.Customer]; c != nil {
		for _, other := range c.waiters {
			if !other.Deadline.After(w.Deadline) {
				own += other.Cost
			}
		}
	}
	ahead := own
	for name, c := range q.customers {
		if name != w.Customer {
			ahead += min(c.cost, (own+w.Cost)*c.weight/w.effectiveWeight())
		}
	}
	return ahead
}

// effectiveWeight returns the weight, at least 1.
func (w Waiter) effectiveWeight() float64 {
	return float64(max(1, w.Weight))
}

// Remove removes a waiter that gave up. It reports whether the waiter was still in the queue.
func (q *FairQueue) Remove(w *Waiter) bool {
	c := w.queue
	if c == nil {
		return false
	}
	heap.Remove(&c.waiters, w.index)
	q.accountRemoval(c, w)
	return true
}

// Pop removes and returns the next waiter: that with the earliest deadline of the customer with the lowest start
// tag. It returns nil if the queue is empty.
func (q *FairQueue) Pop() *Waiter {
	var next *customerQueue
	for _, c := range q.customers {
		if next == nil || c.servedBefore(next) {
			next = c
		}
	}
	if next == nil {
		return nil
	}
	w := heap.Pop(&next.waiters).(*Waiter)
	q.virtualTime = max(q.virtualTime, next.startTag)
	next.startTag = max(next.startTag, q.virtualTime) + w.Cost/w.effectiveWeight()
	q.accountRemoval(next, w)
	return w
}

// accountRemoval updates the sums after a waiter was removed and drops the state of idle customers.
func (q *FairQueue) accountRemoval(c *customerQueue, w *Waiter) {
	w.queue = nil
	q.length--
	q.cost = max(0, q.cost-w.Cost)
	c.cost = max(0, c.cost-w.Cost)
	if len(c.waiters) == 0 {
		delete(q.customers, c.name)
		q.idleTags[c.name] = c.startTag
	}
	if len(q.idleTags) > 2*len(q.customers)+idleTagSlack {
		q.dropExpiredTags()
	}
	if q.length == 0 {
		q.cost = 0
	}
}

func (q *FairQueue) dropExpiredTags() {
	for name, tag := range q.idleTags {
		if tag <= q.virtualTime || q.length == 0 {
			delete(q.idleTags, name)
		}
	}
}

func (c *customerQueue) servedBefore(other *customerQueue) bool {
	if c.startTag != other.startTag {
		return c.startTag < other.startTag
	}
	return c.waiters[0].Deadline.Before(other.waiters[0].Deadline)
}

// Len implements heap.Interface.
func (h waiterHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h waiterHeap) Less(i, j int) bool { return h[i].Deadline.Before(h[j].Deadline) }

// Swap implements heap.Interface.
func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *waiterHeap) Push(x any) {
	w := x.(*Waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waiterHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return w
}
