package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// heartbeat is heartbeat_ms, how often a runner writes its entry. An entry is removed after three of them without a
	// write.
	heartbeat  = 1200 * time.Millisecond
	entryTTL   = 3 * heartbeat
	portalWork = 20 * time.Millisecond
	// extraDelay is the longest time until a second copy of an answer is sent. It is sent sooner if the next request comes on
	// the channel: late, where the next answer is expected.
	extraDelay = 50 * time.Millisecond
)

type (
	// place is an address at which one runner after the other runs, each with an ID of its own.
	place struct {
		site    *site
		service string
		address string
		// doubleEvery is after how many answers of the place one is sent twice; 0 for never.
		doubleEvery int

		mu       sync.Mutex
		id       string
		lives    int
		listener net.Listener
		conns    map[net.Conn]bool
		answers  int
		doubled  int
		// ran holds the IDs of the runners that ran each request, by the ID of the request.
		ran map[string][]string
		// wrong counts the answers with 421.
		wrong int
	}

	// pendingExtra is a second copy of an answer that is to be sent on a channel.
	pendingExtra struct {
		mu   sync.Mutex
		data []byte
	}
)

// newPlace returns a place at a free port, without a runner.
func newPlace(s *site, service, name, ip string) (*place, error) {
	ports, err := freePorts(ip, 1)
	if err != nil {
		return nil, err
	}
	return &place{site: s, service: service, id: name, address: fmt.Sprintf("%s:%d", ip, ports[0]), conns: map[net.Conn]bool{}, ran: map[string][]string{}}, nil
}

// start starts a runner with a new ID, which is listed at once.
func (p *place) start(name string) error {
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.lives++
	p.id = fmt.Sprintf("%s-life%d", name, p.lives)
	p.listener = l
	id := p.id
	p.mu.Unlock()
	p.site.record.write("runner %s starts at %s", id, p.address)
	p.list(id)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.conns[conn] = true
			p.mu.Unlock()
			go p.serve(conn, id)
		}
	}()
	return nil
}

func (p *place) list(id string) {
	p.site.store.Put("servers", id, map[string]any{
		"service": p.service, "address": p.address, "zone": "hall", "state": "ready", "version": "v1", "slots": 6,
		"cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
}

// crash ends the runner: its channels break, nothing listens, and its entry is removed once its heartbeats have been
// missing for entryTTL.
func (p *place) crash() {
	p.mu.Lock()
	id := p.id
	_ = p.listener.Close()
	for conn := range p.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	p.conns = map[net.Conn]bool{}
	p.mu.Unlock()
	p.site.record.write("runner %s crashes", id)
	time.AfterFunc(entryTTL, func() {
		p.site.store.Remove("servers", id)
		p.site.record.write("the entry of %s is removed", id)
	})
}

// serve serves the requests of one channel, one after the other.
func (p *place) serve(conn net.Conn, id string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var extra pendingExtra
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		extra.flush(conn)
		answer := p.answer(r, string(body), id)
		if _, err := conn.Write(answer); err != nil {
			return
		}
		if p.doubles(r.Header.Get(headerID), id) {
			extra.set(answer)
			time.AfterFunc(extraDelay, func() { extra.flush(conn) })
		}
	}
}

// answer returns the answer to a request, after it has run if it is for this runner.
func (p *place) answer(r *http.Request, body, id string) []byte {
	request := r.Header.Get(headerID)
	if expected := r.Header.Get(headerExpected); expected != "" && expected != id {
		p.mu.Lock()
		p.wrong++
		p.mu.Unlock()
		p.site.record.write("runner %s answers request %s with 421: it is for %s", id, request, expected)
		return fmt.Appendf(nil, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", headerID, request, headerNotRun)
	}
	p.mu.Lock()
	p.ran[request] = append(p.ran[request], id)
	p.mu.Unlock()
	p.site.record.write("runner %s runs request %s (%s)", id, request, body)
	time.Sleep(portalWork)
	text := "done " + request
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.%s\r\nContent-Length: %d\r\n\r\n%s", headerID, request, headerStamp, id, request, len(text), text)
}

// doubles counts an answer and reports whether a second copy of it is to be sent.
func (p *place) doubles(request, id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answers++
	if p.doubleEvery == 0 || p.answers%p.doubleEvery != 0 {
		return false
	}
	p.doubled++
	p.site.record.write("runner %s will send its answer to request %s a second time", id, request)
	return true
}

func (e *pendingExtra) set(data []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.data = data
}

// flush sends the copy if it has not been sent yet.
func (e *pendingExtra) flush(conn net.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.data != nil {
		_, _ = conn.Write(e.data)
	}
	e.data = nil
}
