package hosts

import (
	"cmp"
	"crypto/rand"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"chestnutmux.example/chestnutmux/internal/fake/fault"
	"chestnutmux.example/chestnutmux/internal/hostclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Options sets the lag of a host list.
type Options struct {
	Lag time.Duration // time until a change becomes visible
	Now func() time.Time
}

// HostList is the host list.
type HostList struct {
	fault.Injector
	now func() time.Time

	mu      sync.Mutex
	lag     time.Duration
	actual  map[model.HostID]hostclient.Host
	visible map[model.HostID]hostclient.Host
	pending []change // ordered by time
	routes  map[route]string
	epoch   string // differs from that of any other list, so that a tag is never valid for another one
	edition int    // counts the changes that are visible
}

type change struct {
	at   time.Time
	id   model.HostID
	host *hostclient.Host // nil removes
}

type route struct{ viewer, target model.HostID }

// New returns a list that shows the given hosts at once.
func New(opts Options, initial ...hostclient.Host) *HostList {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	h := &HostList{now: opts.Now, lag: opts.Lag, actual: map[model.HostID]hostclient.Host{}, routes: map[route]string{}, epoch: rand.Text()}
	for _, x := range initial {
		h.actual[x.ID] = x
	}
	h.visible = maps.Clone(h.actual)
	return h
}

// Handler serves the list and its fault switches.
func (h *HostList) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/hosts", func(w http.ResponseWriter, r *http.Request) {
		if h.Faults().Refuse {
			fault.WriteError(w, http.StatusServiceUnavailable, model.ErrorKindOverloaded, "the host list refuses requests")
			return
		}
		h.serve(w, r)
	})
	return h.Wrap(mux, nil)
}

// VisibleHosts returns the hosts that are visible now, ordered by id, with the addresses that the viewer is to use.
func (h *HostList) VisibleHosts(viewer model.HostID) hostclient.HostList {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.settle()
	hosts := slices.AppendSeq(make([]hostclient.Host, 0, len(h.visible)), maps.Values(h.visible))
	slices.SortFunc(hosts, func(a, b hostclient.Host) int { return cmp.Compare(a.ID, b.ID) })
	for i, x := range hosts {
		if addr, ok := h.routes[route{viewer, x.ID}]; ok {
			hosts[i].Addr = addr
		}
	}
	return hostclient.HostList{Hosts: hosts}
}

// ActualHost returns the actual entry of a host, regardless of the lag.
func (h *HostList) ActualHost(id model.HostID) (hostclient.Host, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	x, ok := h.actual[id]
	return x, ok
}

// Put adds or replaces a host.
func (h *HostList) Put(x hostclient.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.actual[x.ID] = x
	h.change(change{id: x.ID, host: &x})
}

// Update changes a listed host and reports whether it is listed.
func (h *HostList) Update(id model.HostID, f func(*hostclient.Host)) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	x, ok := h.actual[id]
	if !ok {
		return false
	}
	f(&x)
	x.ID = id
	h.actual[id] = x
	h.change(change{id: id, host: &x})
	return true
}

// Remove takes a host off the list and reports whether it was listed.
func (h *HostList) Remove(id model.HostID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, ok := h.actual[id]
	delete(h.actual, id)
	h.change(change{id: id})
	return ok
}

// SetLag changes the lag of later changes.
func (h *HostList) SetLag(lag time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lag = lag
}

// SetRoute shows the viewer another address of the target, such as that of a relay.
func (h *HostList) SetRoute(viewer, target model.HostID, addr string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.routes[route{viewer, target}] = addr
	h.edition++
}

// change queues a change; one that follows a shorter lag still keeps its place in the order.
func (h *HostList) change(c change) {
	c.at = h.now().Add(h.lag)
	if n := len(h.pending); n > 0 && h.pending[n-1].at.After(c.at) {
		c.at = h.pending[n-1].at
	}
	h.pending = append(h.pending, c)
	h.settle()
}

func (h *HostList) settle() {
	now := h.now()
	n := 0
	for n < len(h.pending) && !h.pending[n].at.After(now) {
		if c := h.pending[n]; c.host == nil {
			delete(h.visible, c.id)
		} else {
			h.visible[c.id] = *c.host
		}
		n++
	}
	h.pending = h.pending[n:]
	h.edition += n
}
