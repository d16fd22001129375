package relay

import (
	"fmt"
	"runtime/debug"
)

// guard keeps a panic of one request's work from ending the process, and with it all others'. It is
// deferred at the head of each goroutine; then ends what the goroutine was to end.
func (r *Relay) recoverPanic(then func()) {
	v := recover()
	if v == nil {
		return
	}
	r.metrics.Event("Panic")
	r.log.Error().Str("Panic", fmt.Sprint(v)).Str("Stack", string(debug.Stack())).Msg("panic; the request fails")
	then()
}
