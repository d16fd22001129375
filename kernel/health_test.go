package kernel_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
)

// A decisive failure ejects an endpoint at once, for as long as asked for. Guards against calls to an endpoint that sends no
// answers which each begin before the one before has failed, so that none is kept from it.
func TestDecisiveFailureEjects(t *testing.T) {
	now := time.Unix(1000, 0)
	for atLeast, ejection := range map[time.Duration]time.Duration{
		0:                      time.Second,
		100 * time.Millisecond: time.Second,
		3 * time.Second:        3 * time.Second,
		time.Minute:            30 * time.Second,
	} {
		h := kernel.Health{}.WithDecisiveFailure(now, atLeast)
		must.False(t, h.Usable(now.Add(ejection-time.Millisecond)))
		must.True(t, h.Usable(now.Add(ejection)))
		must.Eq(t, kernel.Health{}, h.WithSuccess())
	}
}
