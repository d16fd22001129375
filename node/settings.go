package node

import (
	"context"
	"time"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/peer"
)

// settingsInterval is the interval at which the newest revision is read from the table. Newer settings usually arrive
// from peers before that.
const settingsInterval = time.Second

// Settings returns the settings in force.
func (n *Node) Settings() kernel.Settings {
	return *n.settings.Load()
}

// pollSettings reads the newest revision periodically, and applies newer settings, until the node stops.
func (n *Node) pollSettings() {
	n.runPeriodically(settingsInterval, func(ctx context.Context) {
		revision, err := n.store.Head(ctx)
		n.recordTableResult(err)
		if err != nil || revision <= n.Settings().Revision {
			return
		}
		snapshot, err := n.store.Snapshot(ctx)
		n.recordTableResult(err)
		if err == nil {
			n.applySettings(snapshot)
		}
	})
}

// applySettings applies a snapshot of the settings if it is newer than the settings in force.
func (n *Node) applySettings(snapshot model.Snapshot) {
	n.settingsMu.Lock()
	defer n.settingsMu.Unlock()
	current := n.Settings()
	next, errs := current.WithSnapshot(snapshot)
	if next.Revision == current.Revision {
		return
	}
	for _, err := range errs {
		n.metrics.CountEvent("DocumentRefused")
		n.log.Warn().Err(err).Msg("invalid settings document refused; its previous version stays in force")
	}
	n.settings.Store(&next)
	n.setEvacuated(next.Fleet.Evacuated)
	n.metrics.CountEvent("SettingsApplied")
	n.log.Info().Uint64("Revision", next.Revision).Msg("settings in force")
}

// setEvacuated replaces the set of evacuated failure domains, whose endpoints get no calls.
func (n *Node) setEvacuated(domains []string) {
	change := n.dispatcher.SetEvacuated(time.Now(), domains)
	for _, domain := range change.Evacuated {
		n.metrics.CountEvent("DomainEvacuated")
		n.log.Info().Str("Domain", domain).Int64("InFlight", n.inFlight.Load()).Msg("failure domain evacuated")
	}
	for _, domain := range change.Restored {
		n.metrics.CountEvent("DomainTakenBack")
		n.log.Info().Str("Domain", domain).Msg("failure domain taken back")
	}
}

// pullSettings fetches and applies the settings of a peer that has newer ones.
func (n *Node) pullSettings(ctx context.Context, address string) {
	var reply peer.SettingsReply
	pull := peer.SettingsPull{After: n.Settings().Revision}
	if err := n.peers.Call(ctx, address, peer.KindSettings, pull, &reply); err != nil {
		return
	}
	n.metrics.CountEvent("SettingsFromPeer")
	n.applySettings(reply.Snapshot)
}

// handleSettings sends a peer all settings documents, not only those changed after the peer's revision: they are few
// and small, and a missed one would cost more.
func (n *Node) handleSettings(context.Context, []byte) (any, error) {
	s := n.Settings()
	snapshot := model.Snapshot{Revision: s.Revision}
	for _, doc := range s.Documents {
		snapshot.Documents = append(snapshot.Documents, doc)
	}
	return peer.SettingsReply{Snapshot: snapshot}, nil
}
