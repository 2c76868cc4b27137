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

// Options configures a host list; zero fields mean no lag and the system clock.
type Options struct {
	Lag time.Duration // time until a change becomes visible
	Now func() time.Time
}

// HostList is a fake host list.
type HostList struct {
	fault.Injector
	now func() time.Time

	mu             sync.Mutex
	lag            time.Duration
	actual         map[model.HostID]hostclient.Host // the hosts with all changes applied
	visible        map[model.HostID]hostclient.Host // the hosts that VisibleHosts returns; lags behind actual
	pendingChanges []change                         // changes that are not visible yet, by ascending visibleAt
	routes         map[route]string                 // addresses that the list shows to one viewer instead of the target's own
	listID         string                           // random, so that an ETag of another list never matches
	version        int                              // number of changes that became visible, and of changed routes
}

// change is a change of one host that becomes visible at a later time.
type change struct {
	visibleAt time.Time
	id        model.HostID
	host      *hostclient.Host // nil removes the host
}

// route identifies the connections from one host, the viewer of the list, to another.
type route struct{ viewer, target model.HostID }

// New returns a list in which the initial hosts are visible at once.
func New(opts Options, initial ...hostclient.Host) *HostList {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	h := &HostList{now: opts.Now, lag: opts.Lag, actual: map[model.HostID]hostclient.Host{}, routes: map[route]string{}, listID: rand.Text()}
	for _, host := range initial {
		h.actual[host.ID] = host
	}
	h.visible = maps.Clone(h.actual)
	return h
}

// Handler returns the HTTP handler for the host list's API and for its fault injection under /admin/.
func (h *HostList) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/hosts", func(w http.ResponseWriter, r *http.Request) {
		if h.Faults().Refuse {
			fault.WriteError(w, http.StatusServiceUnavailable, model.ErrorKindOverloaded, "the host list refuses requests")
			return
		}
		h.serveList(w, r)
	})
	return h.Wrap(mux, nil)
}

// VisibleHosts returns the hosts that are visible now, ordered by id, with the addresses set by SetRoute for the viewer.
func (h *HostList) VisibleHosts(viewer model.HostID) hostclient.HostList {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.applyDueChanges()
	hosts := slices.AppendSeq(make([]hostclient.Host, 0, len(h.visible)), maps.Values(h.visible))
	slices.SortFunc(hosts, func(a, b hostclient.Host) int { return cmp.Compare(a.ID, b.ID) })
	for i, host := range hosts {
		if addr, ok := h.routes[route{viewer, host.ID}]; ok {
			hosts[i].Addr = addr
		}
	}
	return hostclient.HostList{Hosts: hosts}
}

// ActualHost returns the entry of a host with all changes applied, including those that are not visible yet.
func (h *HostList) ActualHost(id model.HostID) (hostclient.Host, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	host, ok := h.actual[id]
	return host, ok
}

// Put adds or replaces a host.
func (h *HostList) Put(host hostclient.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.actual[host.ID] = host
	h.addChange(change{id: host.ID, host: &host})
}

// Update applies a function to the entry of a host and reports whether the host is listed.
func (h *HostList) Update(id model.HostID, update func(*hostclient.Host)) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	host, ok := h.actual[id]
	if !ok {
		return false
	}
	update(&host)
	host.ID = id
	h.actual[id] = host
	h.addChange(change{id: id, host: &host})
	return true
}

// Remove removes a host from the list and reports whether it was listed.
func (h *HostList) Remove(id model.HostID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, ok := h.actual[id]
	delete(h.actual, id)
	h.addChange(change{id: id})
	return ok
}

// SetLag sets the lag of changes made from now on.
func (h *HostList) SetLag(lag time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lag = lag
}

// SetRoute sets the address of the target, such as that of a relay, that the list shows to the viewer only.
func (h *HostList) SetRoute(viewer, target model.HostID, addr string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.routes[route{viewer, target}] = addr
	h.version++
}

// addChange queues a change, which becomes visible no earlier than the changes before it, even if the lag has been reduced. The
// caller holds the lock.
func (h *HostList) addChange(c change) {
	c.visibleAt = h.now().Add(h.lag)
	if n := len(h.pendingChanges); n > 0 && h.pendingChanges[n-1].visibleAt.After(c.visibleAt) {
		c.visibleAt = h.pendingChanges[n-1].visibleAt
	}
	h.pendingChanges = append(h.pendingChanges, c)
	h.applyDueChanges()
}

// applyDueChanges makes those pending changes visible whose lag is over; the caller holds the lock.
func (h *HostList) applyDueChanges() {
	now := h.now()
	n := 0
	for n < len(h.pendingChanges) && !h.pendingChanges[n].visibleAt.After(now) {
		if c := h.pendingChanges[n]; c.host == nil {
			delete(h.visible, c.id)
		} else {
			h.visible[c.id] = *c.host
		}
		n++
	}
	h.pendingChanges = h.pendingChanges[n:]
	h.version += n
}
