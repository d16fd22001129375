package standin

import (
	"io"
	"net/http"
	"sync"
)

const maxObjectBytes = 64 << 20

// objectService is the platform's object store.
type objectService struct {
	faults  *faultSet
	mu      sync.Mutex
	objects map[string][]byte
}

func newObjectService(f *faultSet) *objectService {
	return &objectService{faults: f, objects: map[string][]byte{}}
}

func (o *objectService) register(mux *http.ServeMux) {
	mux.HandleFunc("GET /objects/{name}", o.get)
	mux.HandleFunc("PUT /objects/{name}", o.put)
}

func (o *objectService) get(w http.ResponseWriter, r *http.Request) {
	if _, hit := o.faults.trigger("objects", FaultDown); hit {
		panic(http.ErrAbortHandler)
	}
	o.mu.Lock()
	data, ok := o.objects[r.PathValue("name")]
	o.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(data)
}

func (o *objectService) put(w http.ResponseWriter, r *http.Request) {
	if _, hit := o.faults.trigger("objects", FaultDown); hit {
		panic(http.ErrAbortHandler)
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	o.mu.Lock()
	o.objects[r.PathValue("name")] = data
	o.mu.Unlock()
}
