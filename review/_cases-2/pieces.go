package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// requestersPerNode is how many requesters send to each node, each on a channel that it keeps.
	requestersPerNode = 8
	// ticketWork is how long a runner works on a ticket.
	ticketWork = 250 * time.Millisecond
	// manyPieces is what one requester states as the number of its pieces; fewPieces is a usual number.
	manyPieces = "2000000"
	fewPieces  = "3"
	// pieceRounds is how often that requester sends a request to each of two nodes, one each pieceInterval.
	pieceRounds   = 3
	pieceInterval = 5 * time.Second
	// retryPause is how long a requester waits after a request that was not served.
	retryPause = 200 * time.Millisecond
	// memoryPollInterval is how often the platform looks at the memory of the processes, and restartDelay how long after its end a
	// process starts again.
	memoryPollInterval = 5 * time.Millisecond
	restartDelay       = 500 * time.Millisecond
	// maxLost is how many requests a machine may pass on and leave without an answer.
	maxLost = 3
	// maxEnds is how often the processes of a machine may end by themselves, and maxEndedNodes at how many machines that may be so.
	maxEnds       = 2
	maxEndedNodes = 1
)

// lostCount counts the requests of kept channels that were passed on and got no answer.
type lostCount struct {
	mu          sync.Mutex
	sent, lost  int
	ends        map[string]int
	lostPerNode map[string]int
}

// runPieces has one requester state many more pieces than any request has, while others send tickets.
func runPieces(w *world) (broken bool, err error) {
	t := tenant{Name: "bozi300", APIKeys: []string{"9dnn2ctnfzs989anu6ws"}, Priority: 1}
	w.putManifest(7, []tenant{t})
	if err := w.addRunners(); err != nil {
		return false, err
	}
	for _, r := range w.runners {
		r.workTime = ticketWork
	}
	if err := w.startNodes(3); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	count := &lostCount{ends: map[string]int{}, lostPerNode: map[string]int{}}
	var all sync.WaitGroup
	for _, n := range w.nodes {
		all.Go(func() { w.superviseMemory(ctx, n, count) })
		for range requestersPerNode {
			all.Go(func() { w.sendTickets(ctx, n, t.APIKeys[0], count) })
		}
	}
	pieces := fewPieces
	if w.trouble {
		pieces = manyPieces
	}
	header := map[string]string{
		"X-Model": "m", "X-Token-Count": "1460,80", "X-Prompt-Prefix": "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
		"X-Pieces": pieces, "X-Piece-Key": "7c1e07a291bd",
	}
	time.Sleep(2 * time.Second)
	for range pieceRounds {
		for _, n := range w.nodes[:2] {
			w.rec.line("sent", "the next request to %s has X-Pieces: %s", n.name, pieces)
			w.send(n, http.MethodPost, "/drafts/1", t.APIKeys[0], 6*time.Second, header)
			time.Sleep(pieceInterval)
		}
	}
	cancel()
	all.Wait()
	ended := 0
	for _, n := range w.nodes {
		w.rec.line("case", "%s: %d requests passed on and left without an answer, %d ends of its own", n.name, count.lostPerNode[n.name], count.ends[n.name])
		if count.lostPerNode[n.name] > maxLost {
			broken = true
			w.rec.line("BROKEN", "LOST: %s", n.name)
		}
		if count.ends[n.name] > maxEnds {
			ended++
		}
	}
	if ended > maxEndedNodes {
		w.rec.line("BROKEN", "Fault: %d machines", ended)
	}
	w.rec.line("case", "%d tickets sent, %d lost", count.sent, count.lost)
	return broken, nil
}

// sendTickets sends requests that must not be repeated, one after the other on a kept channel, until ctx ends.
func (w *world) sendTickets(ctx context.Context, n *node, key string, count *lostCount) {
	client := http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		id := w.newID()
		kept := false
		trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { kept = info.Reused }}
		limited, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		q, err := http.NewRequestWithContext(httptrace.WithClientTrace(limited, trace), http.MethodPost, fmt.Sprintf("http://%s:%d/tickets/1", n.ip, frontendPort), strings.NewReader("body of "+id))
		if err != nil {
			cancel()
			return
		}
		q.Host, q.GetBody = host, nil
		q.Header.Set("X-Request-Id", id)
		q.Header.Set("X-Deadline-Ms", "3000")
		q.Header.Set("Authorization", "Bearer "+key)
		status := 0
		res, err := client.Do(q)
		if err == nil {
			status = res.StatusCode
			_, err = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
		}
		cancel()
		count.mu.Lock()
		count.sent++
		if err != nil && kept && len(w.ran(id)) > 0 {
			count.lost++
			count.lostPerNode[n.name]++
		}
		count.mu.Unlock()
		w.rec.line("ticket", "%s to %s, kept channel %t: status %d, error %v", id, n.name, kept, status, err)
		if status != http.StatusOK {
			time.Sleep(retryPause)
		}
	}
}

// superviseMemory plays the platform: it kills the process of a node that exceeds memory_mb, and starts it again.
func (w *world) superviseMemory(ctx context.Context, n *node, count *lostCount) {
	for ctx.Err() == nil {
		time.Sleep(memoryPollInterval)
		resident := n.residentBytes()
		if resident <= int64(n.memoryMB)*1e6 {
			continue
		}
		n.signal(syscall.SIGKILL)
		<-n.exited
		w.rec.line("platform", "%s exceeds memory_mb = %d with %d MB and is killed", n.name, n.memoryMB, resident/1e6)
		count.mu.Lock()
		count.ends[n.name]++
		count.mu.Unlock()
		time.Sleep(restartDelay)
		if err := n.start(); err != nil {
			w.rec.line("platform", "%s does not start: %v", n.name, err)
			return
		}
	}
}

// residentBytes returns the resident memory of the process; 0 if it is not known.
func (n *node) residentBytes() int64 {
	n.mu.Lock()
	pid := n.cmd.Process.Pid
	n.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}
