package follow

import (
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"basilstall.example/basilstall/exactjson"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/relay"
)

const (
	// NoticesTable is the table of the notices that nodes send to all other nodes. It has a row for each held request,
	// with the digest as its key, one for each endpoint with a rate cap or a refusal cap, with RateCapPrefix or
	// RefusalCapPrefix and the incarnation as its key, and one for each version of a pool with resumable streams.
	NoticesTable = "basilstall_notices"
	// RateCapPrefix is the prefix of the keys of rows about rate caps.
	RateCapPrefix = "rate-cap/"
	// RefusalCapPrefix is the prefix of the keys of rows about refusal caps.
	RefusalCapPrefix = "refusal-cap/"
	// VersionPrefix is the prefix of the keys of rows of versions; kernel.VersionKey is the rest.
	VersionPrefix = "versions/"
	// noticesMaxWait is how long the store may delay its answer to a request for changes of NoticesTable. Changes are
	// answered at once. A connection that has become silent is given up soon after this time, and so within the time in
	// which all nodes have to know a notice.
	noticesMaxWait = 2 * time.Second
)

// Notices passes the held requests, the caps and the versions in NoticesTable to the relay.
type Notices struct {
	relay *relay.Relay
	log   zerolog.Logger
}

// NewNotices returns a Notices that updates the relay r.
func NewNotices(r *relay.Relay, log zerolog.Logger) *Notices {
	return &Notices{relay: r, log: log}
}

// Table returns NoticesTable as a table to follow.
func (n *Notices) Table() Table {
	return Table{Name: NoticesTable, MaxWait: noticesMaxWait, IgnoreAge: true, Optional: true, Apply: n.apply}
}

func (n *Notices) apply(proof kernel.TableProof, rows []kernel.Row) {
	var change kernel.QuarantineChange
	var versions []kernel.VersionChange
	for _, row := range rows {
		if key, ok := strings.CutPrefix(row.Key, VersionPrefix); ok {
			if version, err := DecodeVersion(key, row); err == nil {
				versions = append(versions, version)
			} else {
				n.log.Error().Str("Row", row.Key).Err(err).Msg("invalid row of a version")
			}
			continue
		}
		if incarnation, ok := strings.CutPrefix(row.Key, RateCapPrefix); ok {
			n.applyCap(incarnation, row, n.relay.SetRateCap)
			continue
		}
		if incarnation, ok := strings.CutPrefix(row.Key, RefusalCapPrefix); ok {
			n.applyCap(incarnation, row, n.relay.SetRefusalCap)
			continue
		}
		if row.Removed {
			change.Lift = append(change.Lift, model.Digest(row.Key))
			continue
		}
		var held kernel.HeldRequest
		if err := exactjson.Unmarshal([]byte(row.Value), &held); err != nil || held.Digest != model.Digest(row.Key) {
			n.log.Error().Str("Digest", row.Key).Err(err).Msg("invalid row of a held request")
			continue
		}
		change.Hold = append(change.Hold, held)
	}
	n.relay.ApplyVersions(proof.At, versions)
	if len(change.Hold)+len(change.Lift) > 0 {
		n.relay.ApplyQuarantineChange(change)
	}
}

// DecodeVersion decodes a row of a version, whose key is given without VersionPrefix.
func DecodeVersion(key string, row kernel.Row) (kernel.VersionChange, error) {
	out := kernel.VersionChange{Key: key, RowVersion: row.Version, Removed: row.Removed}
	if row.Removed {
		return out, nil
	}
	if err := exactjson.Unmarshal([]byte(row.Value), &out.Row); err != nil {
		return out, errors.Wrap(err, "follow: unable to decode a row of a version")
	}
	if kernel.VersionKey(out.Row.Binding()) != key {
		return out, errors.New("follow: the row of a version has another key")
	}
	return out, nil
}

func (n *Notices) applyCap(incarnation string, row kernel.Row, set func(incarnation string, stated model.RateCap)) {
	var stated model.RateCap
	if !row.Removed {
		if err := exactjson.Unmarshal([]byte(row.Value), &stated); err != nil || !stated.Stated {
			n.log.Error().Str("Endpoint", incarnation).Err(err).Msg("invalid row of a cap of an endpoint")
			return
		}
	}
	set(incarnation, stated)
}
