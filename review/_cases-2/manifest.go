package main

import (
	"time"
)

// host is the virtual host of all routes.
const host = "desk.example"

// tenant is a tenant of a manifest.
type tenant struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"api_keys"`
	Priority int      `json:"priority"`
}

// manifest returns a manifest with a plain service, a model engine and a stage.
func manifest(version int, tenants []tenant) map[string]any {
	route := func(name, prefix, kind, service string, timeoutMS, sloMS, attempts int, stages []map[string]any) map[string]any {
		return map[string]any{
			"name": name, "host": host, "prefix": prefix, "route_type": kind, "timeout_ms": timeoutMS, "slo_ms": sloMS, "priority": 1,
			"service": service, "max_attempts": attempts, "stages": stages, "public": false, "sticky": kind == "stream", "resumable": false,
			"gap_target_ms": 250,
		}
	}
	none := []map[string]any{}
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			route("ticket-post", "/tickets/", "unsafe", "portal", 1500, 300, 1, none),
			route("invoice-fetch", "/invoices/", "safe", "portal", 1500, 300, 2, none),
			route("renewal-draft", "/drafts/", "stream", "basil-pool", 6000, 1100, 1, []map[string]any{{"service": "depot-tab", "after": []int{}, "bytes": 1500000}}),
		},
		"services": []map[string]any{
			{"name": "portal", "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false},
			{"name": "basil-pool", "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 64, "kv_capacity": 453897, "kv_token_bytes": 163840, "link_mbps": 140000.0, "models": []map[string]any{{"name": "m"}}}},
			{"name": "depot-tab", "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": false, "pieces": map[string]any{"slots": 1, "queue": 2, "batch": 8, "call_ms": 200.0, "item_ms": 21.0, "headroom_mb": 18.0, "handle_s": 4.0, "link_mbps": 10000}},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenants,
	}
}

// putManifest has the operator write a manifest, and returns the time of the ack.
func (w *world) putManifest(version int, tenants []tenant) time.Time {
	w.store.put("op", "config", manifest(version, tenants))
	w.rec.line("operator", "manifest %d acknowledged, tenants %v", version, tenants)
	return time.Now()
}

var zones = []string{"zorrotza", "basauri", "erandio"}

// addRunners adds a runner of each service in each zone.
func (w *world) addRunners() error {
	for _, service := range []string{"portal", "basil-pool", "depot-tab"} {
		for _, zone := range zones {
			if _, err := w.addRunner(service, zone); err != nil {
				return err
			}
		}
	}
	return nil
}

// startNodes adds nodes in all zones in turn, and waits until they are ready.
func (w *world) startNodes(count int) error {
	var added []*node
	for i := range count {
		n := w.addNode(zones[i%len(zones)])
		added = append(added, n)
		if err := n.start(); err != nil {
			return err
		}
	}
	return awaitReady(added, 15*time.Second)
}
