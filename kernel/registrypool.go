package kernel

import (
	"slices"
	"strings"
	"sync/atomic"

	"github.com/benbjohnson/immutable"

	"basilstall.example/basilstall/model"
)

// maxPendingShare is the share of a list that may be changes: with more, the list is put in order even if nobody reads
// it, so that the cost of doing so is spread over that many changes.
const maxPendingShare = 1.0 / 8

type (
	// poolList holds the endpoints of a pool in the order of their names. A change costs what it changes: the list is put
	// in order when it is next read, and a node that sends nothing to a pool rarely reads it. A poolList is immutable for
	// its users and safe for concurrent use.
	poolList struct {
		state atomic.Pointer[poolListState]
		size  int
	}

	// poolListState is a sorted list with the changes to it, by name. A nil endpoint was removed.
	poolListState struct {
		sorted  []model.Endpoint
		pending *immutable.Map[string, *model.Endpoint]
	}
)

// newPoolList returns the list of endpoints with different names. It takes over the slice.
func newPoolList(endpoints []model.Endpoint) *poolList {
	slices.SortFunc(endpoints, func(a, b model.Endpoint) int { return strings.Compare(a.Name, b.Name) })
	l := &poolList{size: len(endpoints)}
	l.state.Store(&poolListState{sorted: endpoints, pending: immutable.NewMap[string, *model.Endpoint](nil)})
	return l
}

// with returns the list after changes, which replace, add or, where nil, remove endpoints. size is the number of
// endpoints after them.
func (l *poolList) with(changes map[string]*model.Endpoint, size int) *poolList {
	after := *l.state.Load()
	for name, e := range changes {
		after.pending = after.pending.Set(name, e)
	}
	if float64(after.pending.Len()) > maxPendingShare*float64(len(after.sorted)) {
		after = after.merged()
	}
	out := &poolList{size: size}
	out.state.Store(&after)
	return out
}

// endpoints returns the endpoints in the order of their names. The slice is shared and must not be changed.
func (l *poolList) endpoints() []model.Endpoint {
	s := l.state.Load()
	if s.pending.Len() == 0 {
		return s.sorted
	}
	merged := s.merged()
	l.state.Store(&merged)
	return merged.sorted
}

// merged returns the state with the pending changes made.
func (s poolListState) merged() poolListState {
	names := make([]string, 0, s.pending.Len())
	for it := s.pending.Iterator(); !it.Done(); {
		name, _, _ := it.Next()
		names = append(names, name)
	}
	slices.Sort(names)
	out := make([]model.Endpoint, 0, len(s.sorted)+len(names))
	rest := s.sorted
	for _, name := range names {
		i, found := slices.BinarySearchFunc(rest, name, func(e model.Endpoint, name string) int { return strings.Compare(e.Name, name) })
		out = append(out, rest[:i]...)
		rest = rest[i:]
		if found {
			rest = rest[1:]
		}
		if e, _ := s.pending.Get(name); e != nil {
			out = append(out, *e)
		}
	}
	return poolListState{sorted: append(out, rest...), pending: immutable.NewMap[string, *model.Endpoint](nil)}
}
