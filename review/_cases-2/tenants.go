package main

import (
	"errors"
	"net/http"
	"time"
)

const (
	// revokeTime is revoke_ms of the settings.
	revokeTime = 5 * time.Second
	// askedPerNode is how many requests are sent to each node after a key was taken away.
	askedPerNode = 5
)

// runTenants takes away the keys of both tenants of a deployment, one tenant after the other. Without the disruption the last
// tenant keeps its keys.
func runTenants(w *world) (broken bool, err error) {
	first := tenant{Name: "bozi300", APIKeys: []string{"9dnn2ctnfzs989anu6ws"}, Priority: 1}
	last := tenant{Name: "fita211", APIKeys: []string{"jnbanfqasnmgkcuyj8pj"}, Priority: 1}
	w.putManifest(7, []tenant{first, last})
	if err := w.addRunners(); err != nil {
		return false, err
	}
	if err := w.startNodes(3); err != nil {
		return false, err
	}
	for _, n := range w.nodes {
		for _, key := range []string{first.APIKeys[0], last.APIKeys[0]} {
			if a := w.send(n, http.MethodPost, "/tickets/1", key, 3*time.Second, nil); a.status != http.StatusOK {
				return false, errors.New("a request with a key that holds is not served")
			}
		}
	}
	// The first tenant leaves.
	ack := w.putManifest(9, []tenant{last})
	time.Sleep(time.Until(ack.Add(revokeTime + time.Second)))
	broken = w.runsAfterRevocation(first.APIKeys[0])
	if w.trouble {
		// The last one leaves as well.
		ack = w.putManifest(12, []tenant{})
	} else {
		ack = w.putManifest(12, []tenant{last})
	}
	time.Sleep(time.Until(ack.Add(revokeTime + time.Second)))
	broken = w.runsAfterRevocation(first.APIKeys[0]) || broken
	if w.trouble {
		broken = w.runsAfterRevocation(last.APIKeys[0]) || broken
	}
	return broken, nil
}

// runsAfterRevocation sends requests with a key that was taken away longer than revokeTime ago, and reports whether one ran.
func (w *world) runsAfterRevocation(key string) bool {
	ran := false
	for _, n := range w.nodes {
		for range askedPerNode {
			a := w.send(n, http.MethodPost, "/tickets/1", key, 3*time.Second, nil)
			for _, r := range w.ran(a.id) {
				ran = true
				w.rec.line("BROKEN", "CONFIG: %s with the revoked key %q ran at %s, with X-Tenant %q", a.id, key, r.runner, r.tenant)
			}
		}
	}
	return ran
}
