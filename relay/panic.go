package relay

import (
	"fmt"
	"runtime/debug"
)

// recoverPanic keeps a panic in the work on one request from ending the process and with it all other requests. It is
// deferred at the start of each goroutine. After a panic, onPanic does what the goroutine had to do before its end.
func (r *Relay) recoverPanic(onPanic func()) {
	v := recover()
	if v == nil {
		return
	}
	r.metrics.CountEvent("Panic")
	r.log.Error().Str("Panic", fmt.Sprint(v)).Str("Stack", string(debug.Stack())).Msg("panic while a request was handled; the request fails")
	onPanic()
}
