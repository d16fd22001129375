package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"basilstall.example/basilstall/clock"
	"basilstall.example/basilstall/list"
	"basilstall.example/basilstall/model"
)

// hostTTL is how long the list keeps a host that says nothing.
const hostTTL = 10 * time.Second

type (
	// listService is the platform's list. What it shows is as old as its lag.
	listService struct {
		faults    *faultSet
		lag       time.Duration
		endpoints func() []model.Endpoint

		mu      sync.Mutex
		hosts   map[string]hostEntry
		history []listSnapshot
	}

	hostEntry struct {
		host     model.Host
		lastSeen time.Time
	}

	listSnapshot struct {
		at   time.Time
		list model.HostList
	}
)

func newListService(f *faultSet, lag time.Duration, endpoints func() []model.Endpoint) *listService {
	return &listService{faults: f, lag: lag, endpoints: endpoints, hosts: map[string]hostEntry{}}
}

func (l *listService) register(mux *http.ServeMux) {
	mux.HandleFunc("GET "+list.Path, l.get)
	mux.HandleFunc("POST "+list.HostsPath, l.announce)
}

func (l *listService) applyFaults(r *http.Request) {
	if _, hit := l.faults.trigger("list", FaultDown); hit {
		panic(http.ErrAbortHandler)
	}
	if delay, hit := l.faults.trigger("list", FaultDelay); hit {
		clock.Sleep(r.Context(), delay.Delay)
	}
}

func (l *listService) get(w http.ResponseWriter, r *http.Request) {
	l.applyFaults(r)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(l.laggedList(time.Now()))
}

func (l *listService) announce(w http.ResponseWriter, r *http.Request) {
	l.applyFaults(r)
	var host model.Host
	if err := json.NewDecoder(r.Body).Decode(&host); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.mu.Lock()
	l.hosts[host.Name] = hostEntry{host: host, lastSeen: time.Now()}
	l.mu.Unlock()
	w.WriteHeader(http.StatusOK)
}

// view returns the list as it was a lag ago, or the oldest state known.
func (l *listService) laggedList(now time.Time) model.HostList {
	l.mu.Lock()
	defer l.mu.Unlock()
	current := model.HostList{Endpoints: l.endpoints()}
	for name, entry := range l.hosts {
		if now.Sub(entry.lastSeen) > hostTTL {
			delete(l.hosts, name)
			continue
		}
		current.Hosts = append(current.Hosts, entry.host)
	}
	if l.lag == 0 {
		return current
	}
	l.history = append(l.history, listSnapshot{at: now, list: current})
	for len(l.history) > 1 && now.Sub(l.history[1].at) >= l.lag {
		l.history = l.history[1:]
	}
	return l.history[0].list
}
