package binding

import (
	"context"
	"time"

	"basilstall.example/basilstall/clock"
	"basilstall.example/basilstall/kernel"
)

// coalesceTime is how long a call waits for more to come. It is short beside the time that an engine takes to its first event.
const coalesceTime = 2 * time.Millisecond

// outbox calls a function in the background after it was woken, as often as a pacer allows.
type outbox struct {
	woken chan struct{}
}

func newOutbox(ctx context.Context, now func() time.Time, pacer kernel.Pacer, interval func() time.Duration, send func()) *outbox {
	o := &outbox{woken: make(chan struct{}, 1)}
	go func() {
		for {
			select {
			case <-o.woken:
			case <-ctx.Done():
				return
			}
			// Requests come in bursts: what follows at once goes along.
			if !clock.Sleep(ctx, coalesceTime) {
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
