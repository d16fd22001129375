package follow

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/relay"
)

const (
	// NoticesTable is the table in which nodes tell each other what is to be known to all: each request that is held
	// back has a row, by its digest, and each endpoint with a rate cap, by RateCapPrefix and its incarnation.
	NoticesTable = "basilstall_notices"
	// RateCapPrefix begins the keys of rows about rate caps.
	RateCapPrefix = "rate-cap/"
	// noticesHold is how long the store may hold a question for changes of it. News come at once; a connection
	// that has gone silent is given up soon after, within the time in which news have to be known.
	noticesHold = 2 * time.Second
)

// Notices tells the relay which requests are held back and which endpoints state rate caps, as the store says.
type Notices struct {
	relay *relay.Relay
	log   zerolog.Logger
}

// NewNotices returns what takes the table over.
func NewNotices(r *relay.Relay, log zerolog.Logger) *Notices {
	return &Notices{relay: r, log: log}
}

// Table returns the table, to be followed.
func (n *Notices) Table() Table {
	return Table{Name: NoticesTable, Hold: noticesHold, IgnoreAge: true, Apply: n.apply}
}

func (n *Notices) apply(_ time.Time, news []kernel.Row) {
	var change kernel.QuarantineChange
	for _, r := range news {
		if incarnation, ok := strings.CutPrefix(r.Key, RateCapPrefix); ok {
			n.applyRateCap(incarnation, r)
			continue
		}
		if r.Removed {
			change.Lift = append(change.Lift, model.Digest(r.Key))
			continue
		}
		var held kernel.HeldRequest
		if err := json.Unmarshal([]byte(r.Value), &held); err != nil || held.Digest != model.Digest(r.Key) {
			n.log.Error().Str("Digest", r.Key).Err(err).Msg("entry of a held request not understood")
			continue
		}
		change.Hold = append(change.Hold, held)
	}
	if len(change.Hold)+len(change.Lift) > 0 {
		n.relay.ApplyQuarantineChange(change)
	}
}

func (n *Notices) applyRateCap(incarnation string, r kernel.Row) {
	var stated model.RateCap
	if !r.Removed {
		if err := json.Unmarshal([]byte(r.Value), &stated); err != nil || !stated.Stated {
			n.log.Error().Str("Endpoint", incarnation).Err(err).Msg("entry of a rate cap not understood")
			return
		}
	}
	n.relay.SetRateCap(incarnation, stated)
}
