package node

import (
	"context"
	"time"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/peer"
)

// settingsInterval is how often the table's head revision is read. Peers pass newer settings on
// sooner.
const settingsInterval = time.Second

// Settings returns what is in force.
func (n *Node) Settings() kernel.Settings {
	return *n.settings.Load()
}

// pollSettings reads the head until the node stops.
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

// applySettings brings a snapshot in force if it is newer than what is.
func (n *Node) applySettings(snapshot model.Snapshot) {
	n.settingsMu.Lock()
	defer n.settingsMu.Unlock()
	current := n.Settings()
	next, refused := current.WithSnapshot(snapshot)
	if next.Revision == current.Revision {
		return
	}
	for _, err := range refused {
		n.metrics.CountEvent("DocumentRefused")
		n.log.Warn().Err(err).Msg("settings document refused; what was in force stays")
	}
	n.settings.Store(&next)
	n.setEvacuated(next.Fleet.Evacuated)
	n.metrics.CountEvent("SettingsApplied")
	n.log.Info().Uint64("Revision", next.Revision).Msg("settings in force")
}

// evacuate keeps work off the endpoints of just some failure domains.
func (n *Node) setEvacuated(domains []string) {
	news := n.dispatcher.SetEvacuated(time.Now(), domains)
	for _, domain := range news.Evacuated {
		n.metrics.CountEvent("DomainEvacuated")
		n.log.Info().Str("Domain", domain).Int64("InFlight", n.inFlight.Load()).Msg("failure domain evacuated")
	}
	for _, domain := range news.Restored {
		n.metrics.CountEvent("DomainTakenBack")
		n.log.Info().Str("Domain", domain).Msg("failure domain taken back")
	}
}

// pullSettings asks a peer that has newer settings for them.
func (n *Node) pullSettings(ctx context.Context, address string) {
	var reply peer.SettingsReply
	pull := peer.SettingsPull{After: n.Settings().Revision}
	if err := n.peers.Call(ctx, address, peer.KindSettings, pull, &reply); err != nil {
		return
	}
	n.metrics.CountEvent("SettingsFromPeer")
	n.applySettings(reply.Snapshot)
}

// handleSettings gives a peer all documents: few and small beside what a lost one costs.
func (n *Node) handleSettings(context.Context, []byte) (any, error) {
	s := n.Settings()
	snapshot := model.Snapshot{Revision: s.Revision}
	for _, doc := range s.Documents {
		snapshot.Documents = append(snapshot.Documents, doc)
	}
	return peer.SettingsReply{Snapshot: snapshot}, nil
}
