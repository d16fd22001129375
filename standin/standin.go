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

// Standin simulates a platform and its endpoints in this process.
type Standin struct {
	// Journal records the runs and orders of all endpoints.
	Journal *Journal

	faults    *faultSet
	table     *tableService
	endpoints []*endpoint
	listener  *faultListener
	server    *http.Server
}

type (
	// Usage holds totals since the start.
	Usage struct {
		TableReads uint64
		// TableWrites counts transactions, including those whose conditions failed.
		TableWrites uint64
		// Pools maps a pool's name to its usage.
		Pools map[string]PoolUsage
	}

	// PoolUsage sums the work of a pool's endpoints.
	PoolUsage struct {
		Calls int
		// Crashes counts simulated crashes of endpoints' processes.
		Crashes int
		// BusySeconds is the time for which calls held a slot, summed over calls.
		BusySeconds float64
		Tokens      int
	}
)

// NewStandin starts a stand-in. The caller must close it with Close.
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

// Endpoints returns all endpoints, as live, regardless of faults.
func (s *Standin) Endpoints() []model.Endpoint {
	out := make([]model.Endpoint, 0, len(s.endpoints))
	for _, e := range s.endpoints {
		out = append(out, e.toModel())
	}
	return out
}

// InjectFault activates a fault. FaultSilent and FaultCut act once, on the connections that are open; the others last
// until they are cleared or have been triggered Times times.
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

// ClearFaults removes the faults of a target, or all faults if target is empty.
func (s *Standin) ClearFaults(target string) {
	s.faults.clear(target)
	for _, e := range s.endpoints {
		if target == "" || matchesTarget(target, e.target()) {
			e.leaving.Store(false)
		}
	}
}

// Usage returns the totals since the start.
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

// Close stops all servers of the stand-in.
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
		s.endpoints = append(s.endpoints, newEndpoint(name, pool, domain, pool.versionOf(i), listener, s.faults, s.Journal))
	}
	return nil
}

// listedEndpoints returns the current endpoints for the list, with FaultLeave, FaultLeaveList and FaultCold applied.
func (s *Standin) listedEndpoints() []model.Endpoint {
	out := s.Endpoints()
	for i, e := range s.endpoints {
		if _, triggered := s.faults.trigger(e.target(), FaultLeave, FaultLeaveList); triggered {
			out[i].State = model.Leaving
		}
		if fault, triggered := s.faults.trigger(e.target(), FaultCold); triggered {
			out[i].ColdFor = fault.Delay
		}
	}
	return out
}

// seed writes the configured settings documents to the table.
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
