package follow

import (
	"encoding/json"
	"time"

	"github.com/rs/zerolog"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/relay"
)

const (
	// QuarantineTable is the table in which each request that is held back has a row, by its digest.
	QuarantineTable = "basilstall_quarantine"
	// quarantineHold is how long the store may hold a question for changes of it. News come at once; a connection
	// that has gone silent is given up soon after, within the time in which news have to be known.
	quarantineHold = 2 * time.Second
)

// Quarantine tells the relay which requests are held back, as the store says.
type Quarantine struct {
	relay *relay.Relay
	log   zerolog.Logger
}

// NewQuarantine returns what takes the table over.
func NewQuarantine(r *relay.Relay, log zerolog.Logger) *Quarantine {
	return &Quarantine{relay: r, log: log}
}

// Table returns the table, to be followed.
func (q *Quarantine) Table() Table {
	return Table{Name: QuarantineTable, Hold: quarantineHold, Undated: true, Apply: q.apply}
}

func (q *Quarantine) apply(_ time.Time, news []kernel.Row) {
	if len(news) == 0 {
		return
	}
	var change kernel.QuarantineChange
	for _, r := range news {
		if r.Removed {
			change.Lift = append(change.Lift, model.Digest(r.Key))
			continue
		}
		var held kernel.HeldRequest
		if err := json.Unmarshal([]byte(r.Value), &held); err != nil || held.Digest != model.Digest(r.Key) {
			q.log.Error().Str("Digest", r.Key).Err(err).Msg("entry of a held request not understood")
			continue
		}
		change.Hold = append(change.Hold, held)
	}
	q.relay.SetHeldBack(change)
}
