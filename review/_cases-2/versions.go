package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// versionedStreams is how many streams are begun in each of streamRounds, and maxJoined how many in all may hold events of two
	// versions.
	versionedStreams = 100
	streamRounds     = 3
	maxJoined        = 2
	// promptTime is how long a runner takes to its first event, tokenPause the time before each further one.
	promptTime   = 3600 * time.Millisecond
	tokenPause   = 150 * time.Millisecond
	streamEvents = 30
	// streamInterval is the time between two streams that begin.
	streamInterval = 30 * time.Millisecond
	// settleTime is the time before each round, and maxTries how often a requester takes a stream up.
	settleTime = 4 * time.Second
	maxTries   = 6
	// freezeAt, wakeAt and killAt are the times of the faults of a round.
	freezeAt = 2600 * time.Millisecond
	wakeAt   = 6600 * time.Millisecond
	killAt   = 7600 * time.Millisecond
)

// versionedStream is a stream of a requester, over all of its attempts.
type versionedStream struct {
	number int
	// begunAs is the ID of the attempt that brought the first event.
	begunAs, lastEvent string
	versions           []string
	complete           bool
}

// runVersions breaks off streams of a service that has runners of two versions, and has their requesters take them up elsewhere.
func runVersions(w *world) (broken bool, err error) {
	key, err := w.startVersionedFleet()
	if err != nil {
		return false, err
	}
	joined := 0
	for range streamRounds {
		time.Sleep(settleTime)
		inRound, err := w.breakOffStreams(key)
		if err != nil {
			return false, err
		}
		joined += inRound
	}
	w.rec.line("case", "%d streams with events of two versions in all, %d are allowed", joined, maxJoined)
	return joined > maxJoined, nil
}

// startVersionedFleet starts three nodes and a service with runners of two versions and a route of resumable streams. It returns the key of
// the requesters.
func (w *world) startVersionedFleet() (key string, err error) {
	t := tenant{Name: "bozi300", APIKeys: []string{"9dnn2ctnfzs989anu6ws"}, Priority: 1}
	m := manifest(7, []tenant{t})
	m["routes"] = append(m["routes"].([]map[string]any), map[string]any{
		"name": "summary", "host": host, "prefix": "/summaries/", "route_type": "stream", "timeout_ms": 15000, "slo_ms": 3900, "priority": 1,
		"service": "basil-pool", "max_attempts": 2, "stages": []map[string]any{}, "public": false, "sticky": true, "resumable": true, "gap_target_ms": 250,
	})
	w.store.put("op", "config", m)
	for _, version := range []string{"1", "1", "1", "2", "2", "2"} {
		if err := w.addEngine(version); err != nil {
			return "", err
		}
	}
	if err := w.startNodes(3); err != nil {
		return "", err
	}
	return t.APIKeys[0], nil
}

// addEngine adds a runner of the model service at a version of its software.
func (w *world) addEngine(version string) error {
	r, err := newRunner(fmt.Sprintf("i-%08x", rand.Uint32()), "basil-pool", zones[len(w.runners)%len(zones)], w.rec)
	if err != nil {
		return err
	}
	r.version, r.promptTime, r.eventPause, r.events = version, promptTime, tokenPause, streamEvents
	w.runners = append(w.runners, r)
	w.store.put("servers", r.id, r.entry("ready", 1))
	w.rec.line("runner", "%s starts at version %s", r.id, version)
	return nil
}

// breakOffStreams begins streams at one node and returns how many got events of two versions. With the disruption, another node
// freezes, and after it has woken the first one is killed.
func (w *world) breakOffStreams(key string) (joined int, err error) {
	first, frozen, other := w.nodes[1], w.nodes[2], w.nodes[0]
	streams := make([]*versionedStream, versionedStreams)
	var begun sync.WaitGroup
	for i := range streams {
		s := &versionedStream{number: i}
		streams[i] = s
		begun.Go(func() {
			time.Sleep(time.Duration(i) * streamInterval)
			w.attemptStream(s, first, key)
		})
	}
	if w.trouble {
		time.Sleep(freezeAt)
		w.rec.line("fault", "%s freezes", frozen.name)
		frozen.signal(syscall.SIGSTOP)
		time.Sleep(wakeAt - freezeAt)
		w.rec.line("fault", "%s wakes", frozen.name)
		frozen.signal(syscall.SIGCONT)
		time.Sleep(killAt - wakeAt)
		w.rec.line("fault", "%s is killed", first.name)
		first.kill()
	}
	begun.Wait()
	var again sync.WaitGroup
	for _, s := range streams {
		again.Go(func() { w.takeUpStream(s, []*node{frozen, other}, key) })
	}
	again.Wait()
	if w.trouble {
		if err := first.start(); err != nil {
			return 0, err
		}
	}
	return w.countJoined(streams), awaitReady(w.nodes, 15*time.Second)
}

// takeUpStream has a requester take up its stream until it is complete, at the nodes in turn.
func (w *world) takeUpStream(s *versionedStream, nodes []*node, key string) {
	for try := 0; try < maxTries && !s.complete; try++ {
		w.attemptStream(s, nodes[(s.number+try)%len(nodes)], key)
		time.Sleep(retryPause)
	}
}

// countJoined returns how many streams have events of several versions.
func (w *world) countJoined(streams []*versionedStream) (joined int) {
	complete := 0
	for _, s := range streams {
		if s.complete {
			complete++
		}
		if len(s.versions) > 1 {
			joined++
			w.rec.line("BROKEN", "ORDER: stream %d, begun as %s, has events of versions %v", s.number, s.begunAs, s.versions)
		}
	}
	w.rec.line("case", "%d streams, %d complete, %d with events of two versions", len(streams), complete, joined)
	return joined
}

// attemptStream makes one attempt of a requester at a stream, which takes it up if it has events already.
func (w *world) attemptStream(s *versionedStream, n *node, key string) {
	id := w.newID()
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d/summaries/1", n.ip, frontendPort), strings.NewReader("body"))
	if err != nil {
		return
	}
	q.Host = host
	for name, value := range map[string]string{
		"X-Request-Id": id, "X-Deadline-Ms": "15000", "Authorization": "Bearer " + key, "X-Model": "m", "X-Token-Count": "1460,80",
		"X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:800,%08x:660", 0xb0000000+s.number),
	} {
		q.Header.Set(name, value)
	}
	if s.begunAs != "" {
		q.Header.Set("Resumes", s.begunAs)
		q.Header.Set("Last-Event-Id", s.lastEvent)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	res, err := client.Do(q)
	if err != nil {
		w.rec.line("stream", "%d, attempt %s at %s: %v", s.number, id, n.name, err)
		return
	}
	defer res.Body.Close()
	got := 0
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		if event, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			s.lastEvent = event
		}
		if _, version, ok := strings.Cut(lines.Text(), "of version "); ok {
			got++
			if s.begunAs == "" {
				s.begunAs = id
			}
			if len(s.versions) == 0 || s.versions[len(s.versions)-1] != version {
				s.versions = append(s.versions, version)
			}
		}
	}
	s.complete = s.lastEvent == strconv.Itoa(streamEvents)
	w.rec.line("stream", "%d, attempt %s at %s, begun as %q: status %d, %d events, to %s, versions %v", s.number, id, n.name, s.begunAs, res.StatusCode, got, s.lastEvent, s.versions)
}
