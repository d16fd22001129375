package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/table"
)

// Standin is a running stand-in.
type Standin struct {
	// Journal tells what ran.
	Journal *Journal

	faults    *faultSet
	table     *tableService
	endpoints []*endpoint
	listener  *faultListener
	server    *http.Server
}

type (
	// Usage is how much was used.
	Usage struct {
		TableReads  uint64
		TableWrites uint64
		// Pools has the work of each pool.
		Pools map[string]PoolUsage
	}

	// PoolUsage is the work of one pool.
	PoolUsage struct {
		Calls int
		// Crashes counts the ends of endpoints' processes.
		Crashes int
		// BusySeconds sums the time in which calls held a slot.
		BusySeconds float64
		Tokens      int
	}
)

// NewStandin starts a stand-in; Close ends it.
func NewStandin(c Config) (*Standin, error) {
	s := &Standin{Journal: newJournal(), faults: &faultSet{}}
	s.table = newTableService(s.faults, c.TableDelay)
	if err := s.seed(c.Settings); err != nil {
		return nil, err
	}
	for _, pool := range c.Pools {
		if err := s.startPool(pool); err != nil {
			s.Close()
			return nil, err
		}
	}
	listener, err := listen(c.Platform)
	if err != nil {
		s.Close()
		return nil, err
	}
	s.listener = listener
	s.server = &http.Server{Handler: s.routes(c), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// Address returns the platform's address.
func (s *Standin) Address() string {
	return s.listener.Addr().String()
}

// Endpoints returns all endpoints.
func (s *Standin) Endpoints() []model.Endpoint {
	out := make([]model.Endpoint, 0, len(s.endpoints))
	for _, e := range s.endpoints {
		out = append(out, e.toModel())
	}
	return out
}

// Fault switches a fault on.
func (s *Standin) InjectFault(f Fault) {
	switch f.Kind {
	case FaultSilent:
		for _, l := range s.listenersOf(f.Target) {
			l.silenceConns()
		}
	case FaultCut:
		for _, l := range s.listenersOf(f.Target) {
			l.closeConns()
		}
	case FaultLeave:
		for _, e := range s.endpoints {
			if matchesTarget(f.Target, e.target()) {
				e.leaving.Store(true)
			}
		}
		s.faults.add(f)
	default:
		s.faults.add(f)
	}
}

// ClearFaults switches the faults of a target off; all faults for an empty target.
func (s *Standin) ClearFaults(target string) {
	s.faults.clear(target)
	for _, e := range s.endpoints {
		if target == "" || matchesTarget(target, e.target()) {
			e.leaving.Store(false)
		}
	}
}

// Usage returns how much was used.
func (s *Standin) Usage() Usage {
	reads, writes := s.table.usage()
	u := Usage{TableReads: reads, TableWrites: writes, Pools: map[string]PoolUsage{}}
	for _, e := range s.endpoints {
		pool := u.Pools[e.pool.Name]
		pool.Calls += int(e.calls.Load())
		pool.BusySeconds += time.Duration(e.busyNanos.Load()).Seconds()
		pool.Crashes += int(e.crashes.Load())
		pool.Tokens += int(e.tokens.Load())
		u.Pools[e.pool.Name] = pool
	}
	return u
}

// Close ends the stand-in.
func (s *Standin) Close() {
	for _, e := range s.endpoints {
		_ = e.server.Close()
	}
	if s.server != nil {
		_ = s.server.Close()
	}
}

func (s *Standin) listenersOf(target string) []*faultListener {
	if target == "table" || target == "list" || target == "platform" {
		return []*faultListener{s.listener}
	}
	var out []*faultListener
	for _, e := range s.endpoints {
		if matchesTarget(target, e.target()) {
			out = append(out, e.listener)
		}
	}
	return out
}

func (s *Standin) startPool(pool PoolConfig) error {
	for i := range pool.Endpoints {
		host := pool.Host
		if host == "" {
			host = NewLoopbackHost()
		}
		port := 0
		if pool.FirstPort > 0 {
			port = pool.FirstPort + i
		}
		listener, err := listen(net.JoinHostPort(host, strconv.Itoa(port)))
		if err != nil {
			return err
		}
		name := fmt.Sprintf("%s-%d", pool.Name, i+1)
		domain := pool.FailureDomains[i%len(pool.FailureDomains)]
		s.endpoints = append(s.endpoints, newEndpoint(name, pool, domain, listener, s.faults, s.Journal))
	}
	return nil
}

// listed returns the endpoints as the list shows them before its lag.
func (s *Standin) listedEndpoints() []model.Endpoint {
	out := s.Endpoints()
	for i, e := range s.endpoints {
		if _, hit := s.faults.trigger(e.target(), FaultLeave, FaultLeaveList); hit {
			out[i].State = model.Leaving
		}
		if fault, hit := s.faults.trigger(e.target(), FaultCold); hit {
			out[i].ColdFor = fault.Delay
		}
	}
	return out
}

// seed writes the documents that are in the table from the start.
func (s *Standin) seed(files []SettingsFile) error {
	for i, file := range files {
		text := file.YAML
		if file.File != "" {
			data, err := os.ReadFile(file.File)
			if err != nil {
				return errors.Wrap(err, "standin: unable to read settings")
			}
			text = string(data)
		}
		doc := model.Document{
			Path: file.Path, Revision: uint64(i + 1), Operation: uuid.NewString(),
			Author: "standin", At: time.Now(), YAML: text,
		}
		s.table.apply(table.SeedTransaction(doc))
	}
	return nil
}

func (s *Standin) routes(c Config) http.Handler {
	mux := http.NewServeMux()
	s.table.register(mux)
	newListService(s.faults, c.ListLag, s.listedEndpoints).register(mux)
	newObjectService(s.faults).register(mux)
	mux.HandleFunc("POST /faults", s.postFault)
	mux.HandleFunc("DELETE /faults", s.deleteFaults)
	mux.HandleFunc("GET /journal/runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Journal.Runs()) })
	mux.HandleFunc("GET /journal/orders", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Journal.Orders()) })
	mux.HandleFunc("GET /journal/summary", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Journal.Summary()) })
	mux.HandleFunc("GET /usage", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Usage()) })
	return mux
}

func (s *Standin) postFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.InjectFault(f)
}

func (s *Standin) deleteFaults(_ http.ResponseWriter, r *http.Request) {
	s.ClearFaults(r.URL.Query().Get("target"))
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
