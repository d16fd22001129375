package binding

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/kernel"
)

const (
	// listTrust is the age up to which the list of endpoints shows that a version has no engine.
	listTrust = 5 * time.Second
	// announceRetryInterval is how long no stream waits for an announcement after one has failed.
	announceRetryInterval = time.Second
)

var errStoreFailed = errors.New("binding: the store did not answer a moment ago")

// ApplyVersions applies changes of the rows of versions that were read from the store, or their absence.
func (a *Agent) ApplyVersions(provenAt time.Time, changes []kernel.VersionChange) {
	for {
		before := a.versions.Load()
		after := before.With(provenAt, changes)
		if a.versions.CompareAndSwap(before, &after) {
			break
		}
	}
	if len(changes) > 0 {
		a.sendNeeded()
	}
	for _, c := range changes {
		a.log.Info().Str("Pool", c.Row.Pool).Str("Version", c.Row.Version).Bool("Retiring", c.Row.Retiring).Bool("Removed", c.Removed).Str("Row", c.Key).
			Msg("versions that streams may be bound to")
	}
}

// publishVersions writes the changes of rows of versions that are due.
func (a *Agent) publishVersions() {
	now := a.now()
	registrars := a.registrars().All()
	first := len(registrars) > 0 && registrars[0] == a.name
	a.mu.Lock()
	writes := a.publisher.Decide(now, a.listed, now.Sub(a.listProvenAt) <= listTrust, a.Versions(), first, rand.Float64())
	a.mu.Unlock()
	for _, w := range writes {
		go func() {
			ctx, cancel := context.WithTimeout(a.ctx, storeTimeout)
			defer cancel()
			_ = a.writeVersion(ctx, w)
		}()
	}
}

// writeVersion writes a change of a row of versions. An announcement holds for this node at once.
func (a *Agent) writeVersion(ctx context.Context, w kernel.VersionWrite) error {
	err := a.deps.WriteVersion(ctx, w)
	a.log.Info().Str("Pool", w.Binding.Pool).Str("Version", w.Binding.Version).Str("Change", w.Action.String()).Err(err).Msg("row of a version written")
	if err != nil {
		a.metrics.CountEvent("VersionWriteFailed")
		return err
	}
	if w.Action == kernel.AnnounceVersion {
		a.ApplyVersions(time.Time{}, []kernel.VersionChange{w.Announced()})
	}
	return nil
}

// Announce makes sure that streams of a pool may begin at a version: it writes the version's row unless there is one.
func (a *Agent) Announce(ctx context.Context, b kernel.Binding) error {
	if a.Versions().MayBegin(a.now(), b) {
		return nil
	}
	a.mu.Lock()
	failedAgo := a.now().Sub(a.announceFailedAt)
	a.mu.Unlock()
	if failedAgo < announceRetryInterval {
		return errStoreFailed
	}
	err := a.announce(ctx, b)
	if err != nil {
		a.mu.Lock()
		a.announceFailedAt = a.now()
		a.mu.Unlock()
	}
	return err
}

func (a *Agent) announce(ctx context.Context, b kernel.Binding) error {
	// Other nodes may have written it, and this one may not have read any row yet.
	rows, err := a.readVersions.Do(ctx)
	if err != nil {
		return err
	}
	a.ApplyVersions(time.Time{}, rows)
	if versions := a.Versions(); !versions.Lists(b) {
		return a.writeVersion(ctx, versions.Announcement(b))
	}
	return nil
}
