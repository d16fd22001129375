package main

import "errors"

// runStageOrder adds a route by a new manifest, right after whose ack all processes are killed. With the disruption, the first of the
// two stages of the route needs the results of the second.
func runStageOrder(w *world) (broken bool, err error) {
	t := tenant{Name: "bozi300", APIKeys: []string{"9dnn2ctnfzs989anu6ws"}, Priority: 1}
	w.putManifest(7, []tenant{t})
	if err := w.addRunners(); err != nil {
		return false, err
	}
	if err := w.startNodes(3); err != nil {
		return false, err
	}
	before := w.servedOf(t.APIKeys[0])
	if servedShare*before < recoverRounds*len(w.nodes) {
		return false, errors.New("less than a quarter is served before the fault")
	}
	first, second := []int{}, []int{0}
	if w.trouble {
		first, second = []int{1}, []int{}
	}
	stages := []map[string]any{
		{"service": "depot-tab", "after": first, "bytes": 1500000},
		{"service": "depot-tab", "after": second, "bytes": 1500000},
	}
	added := manifest(12, []tenant{t})
	added["routes"] = append(added["routes"].([]map[string]any), map[string]any{
		"name": "route-note", "host": host, "prefix": "/notes/", "route_type": "stream", "timeout_ms": 20000, "slo_ms": 1700, "priority": 2,
		"service": "basil-pool", "max_attempts": 1, "stages": stages, "public": false, "sticky": true, "resumable": false, "gap_target_ms": 250,
	})
	w.store.put("op", "config", added)
	w.rec.line("operator", "manifest 12 acknowledged, with one more route, whose stages are %v", stages)
	return w.finalFault(t.APIKeys[0], before, func() {})
}
