package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	// entryTime is how long the nodes have to learn of an entry: drain_ms of the settings and more.
	entryTime = 3 * time.Second
	// foreignRounds is how many requests are sent to each node.
	foreignRounds = 20
)

// foreignServer is a server that is no runner of the platform, although another writer has written an entry of it.
type foreignServer struct {
	*runner
	form string
	// requests is the number of requests that ran there.
	requests int
}

// runForeign has another writer write two entries that name no runner: one whose fields are not spelled as on the pages, so that all
// fields are missing, and one in a part of its own of the table of runners, where servers/ID is a row with an empty part. It
// reports whether a request ran at one of the two servers.
func runForeign(w *world) (broken bool, err error) {
	t := tenant{Name: "bozi300", APIKeys: []string{"9dnn2ctnfzs989anu6ws"}, Priority: 1}
	w.putManifest(7, []tenant{t})
	if err := w.addRunners(); err != nil {
		return false, err
	}
	if err := w.startNodes(3); err != nil {
		return false, err
	}
	servers := []*foreignServer{{form: "fields"}, {form: "part"}}
	for _, s := range servers {
		if s.runner, err = newRunner(fmt.Sprintf("t-%08x", rand.Uint32()), "none of the platform", zones[0], w.rec); err != nil {
			return false, err
		}
		if w.trouble {
			w.putForeign(s)
		}
	}
	time.Sleep(entryTime)
	for range foreignRounds {
		for _, n := range w.nodes {
			a := w.send(n, http.MethodPost, "/tickets/1", t.APIKeys[0], 3*time.Second, nil)
			if a.err != nil {
				return false, errors.New("a request got no answer")
			}
			for _, s := range servers {
				s.count(a)
			}
		}
	}
	for _, s := range servers {
		w.rec.line("case", "%d of %d requests ran at %s (%s)", s.requests, foreignRounds*len(w.nodes), s.id, s.form)
		broken = broken || s.requests > 0
	}
	return broken, nil
}

// count counts a request if it ran at the server.
func (s *foreignServer) count(a answer) {
	if len(s.ran(a.id)) > 0 {
		s.requests++
		s.rec.line("BROKEN", "ROUTE: %s ran at %s (%s), which is no runner of the platform", a.id, s.id, s.form)
	}
}

// putForeign writes the entry of a foreign server.
func (w *world) putForeign(s *foreignServer) {
	entry, part := s.entry("ready", 1), ""
	entry["service"] = "portal"
	switch s.form {
	case "fields":
		renamed := map[string]any{}
		for name, value := range entry {
			renamed[strings.ToUpper(name[:1])+name[1:]] = value
		}
		entry = renamed
	case "part":
		part = "test"
	}
	w.store.putPart("servers", part, s.id, entry)
	w.rec.line("entry", "another writer: table servers, part %q, key %s: %v", part, s.id, entry)
}
