package connlimit

import (
	"time"

	"github.com/rs/zerolog"

	"basilstall.example/basilstall/metric"
)

// closeLogBurst is the maximum number of lines on closed connections in each second.
const closeLogBurst = 20

// Report exports what is held as gauges, and counts and logs the connections that are closed. It must be called before the
// first connection is accepted.
func (t *Tracker) Report(metrics *metric.Set, log zerolog.Logger) {
	metrics.Gauge("held_bytes", func() float64 { return float64(t.HeldBytes()) })
	metrics.Gauge("held_bytes_peak", func() float64 { return float64(t.PeakHeldBytes()) })
	metrics.Gauge("caller_connections", func() float64 { return float64(t.Conns()) })
	metrics.Gauge("caller_connections_unread", func() float64 { return float64(t.Sending()) })
	metrics.Gauge("caller_head_bytes", func() float64 { return float64(t.HeadBytes()) })
	log = log.Sample(&zerolog.BurstSampler{Burst: closeLogBurst, Period: time.Second})
	t.OnClose = func(remote string, bytes int64, cause Cause) {
		metrics.CountEvent(string(cause))
		log.Info().Str("Remote", remote).Int64("Bytes", bytes).Int64("HeldBytes", t.HeldBytes()).Str("Cause", string(cause)).
			Msg("connection of a caller closed")
	}
}
