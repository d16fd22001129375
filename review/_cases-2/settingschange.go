package main

import (
	"errors"
	"net/http"
	"syscall"
	"time"
)

const (
	// recoverTime is recover_s of the settings.
	recoverTime = 12 * time.Second
	// downTime is how long the processes are down.
	downTime = 800 * time.Millisecond
	// recoverRounds is how many requests are sent to each node before the fault, and after recoverTime.
	recoverRounds = 20
	// servedShare is the reciprocal of the share of the requests that has to be served.
	servedShare = 4
)

// runSettingsChange kills all processes, which start again with the settings in effect by then. With the disruption, fail_closed
// is false in these.
func runSettingsChange(w *world) (broken bool, err error) {
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
	return w.finalFault(t.APIKeys[0], before, func() {
		for _, n := range w.nodes {
			n.failOpen = w.trouble
			w.rec.line("node", "fail_closed = %t in the settings of %s", !n.failOpen, n.name)
		}
	})
}

// finalFault kills all processes at once, calls change while they are down, and starts them again. It reports whether less than a
// quarter is served later than recoverTime.
func (w *world) finalFault(key string, before int, change func()) (broken bool, err error) {
	for _, n := range w.nodes {
		n.signal(syscall.SIGKILL)
	}
	for _, n := range w.nodes {
		n.kill()
	}
	w.rec.line("node", "all processes are killed")
	change()
	time.Sleep(downTime)
	for _, n := range w.nodes {
		if err := n.start(); err != nil {
			return false, err
		}
	}
	time.Sleep(recoverTime)
	for _, n := range w.nodes {
		w.rec.line("node", "%s says that it is ready: %t", n.name, n.ready())
	}
	after := w.servedOf(key)
	sent := recoverRounds * len(w.nodes)
	w.rec.line("case", "%d of %d served before the fault, %d of %d sent later than recover_s", before, sent, after, sent)
	if broken = servedShare*after < sent; broken {
		w.rec.line("BROKEN", "RECOVER: less than a quarter is served")
	}
	return broken, nil
}

// servedOf sends requests with a key to all nodes and returns how many were served.
func (w *world) servedOf(key string) int {
	served := 0
	for range recoverRounds {
		for _, n := range w.nodes {
			if a := w.send(n, http.MethodGet, "/invoices/1", key, 3*time.Second, nil); a.status == http.StatusOK && a.stamp != "" {
				served++
			}
		}
	}
	return served
}
