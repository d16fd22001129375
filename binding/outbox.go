package binding

import (
	"context"
	"time"

	"basilstall.example/basilstall/clock"
	"basilstall.example/basilstall/kernel"
)

// How long a call waits for more to come. Both are short beside the time that an engine takes to its first event. An engine that refuses a
// request usually does so within sendCoalesceTime, so that its record is replaced before another node has it.
const (
	sendCoalesceTime  = 10 * time.Millisecond
	storeCoalesceTime = 2 * time.Millisecond
)

// outbox calls a function in the background after it was woken, as often as a pacer allows.
type outbox struct {
	woken chan struct{}
}

func newOutbox(ctx context.Context, now func() time.Time, coalesce time.Duration, pacer kernel.Pacer, interval func() time.Duration, send func()) *outbox {
	o := &outbox{woken: make(chan struct{}, 1)}
	go func() {
		for {
			select {
			case <-o.woken:
			case <-ctx.Done():
				return
			}
			// Requests come in bursts: what follows at once goes along.
			if !clock.Sleep(ctx, coalesce) {
				return
			}
			send()
			var wait time.Duration
			if pacer, wait = pacer.With(now(), interval()); wait > 0 && !clock.Sleep(ctx, wait) {
				return
			}
		}
	}()
	return o
}

// wake has the function called soon. It does not block.
func (o *outbox) wake() {
	select {
	case o.woken <- struct{}{}:
	default:
	}
}
