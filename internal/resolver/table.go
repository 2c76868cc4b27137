package resolver

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Route maps calls with a host name and a path prefix to a queue.
type Route struct {
	HostName string // host name in the request
	Prefix   string // prefix of the request's URL path
	Queue    model.Queue
}

// Table is the lookup table of one version of the configuration. It must not be changed after it was published.
type Table struct {
	Version      model.ConfigVersion
	Guarantees   map[model.WorkspaceID]model.Accelerators // accelerators guaranteed to each workspace
	ColdRates    map[model.ServiceID]float64              // number of tasks a second that a cold worker of a service can bear to start; no entry means no limit
	MaxBodyBytes model.Bytes                              // maximum size of a request body; 0 selects the default

	routesByHostName map[string][]Route           // by host name, longest prefix first
	workspaceByKey   map[string]model.WorkspaceID // by API key
}

// NewTable returns a table of routes and of the workspaces that API keys belong to.
func NewTable(v model.ConfigVersion, routes []Route, workspaceByKey map[string]model.WorkspaceID) *Table {
	t := &Table{Version: v, routesByHostName: map[string][]Route{}, workspaceByKey: workspaceByKey}
	for _, r := range routes {
		t.routesByHostName[r.HostName] = append(t.routesByHostName[r.HostName], r)
	}
	for _, rs := range t.routesByHostName {
		slices.SortStableFunc(rs, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Route returns the route of the host name with the longest prefix that matches the path, and the path after that prefix.
func (t *Table) Route(hostName, path string) (r Route, rest string, ok bool) {
	for _, r := range t.routesByHostName[hostName] {
		if rest, ok := strings.CutPrefix(path, r.Prefix); ok {
			return r, rest, true
		}
	}
	return Route{}, "", false
}

// Workspace returns the workspace that an API key belongs to.
func (t *Table) Workspace(key string) (model.WorkspaceID, bool) {
	ws, ok := t.workspaceByKey[key]
	return ws, ok
}

// confirmCheckInterval is the interval at which waiting calls check whether the table is current again.
const confirmCheckInterval = 50 * time.Millisecond

// Resolver holds the current table and knows how old it can be; the zero value has none.
type Resolver struct {
	// MaxAge is the time for which the table counts as current after it was last confirmed; 0 means forever.
	MaxAge time.Duration

	table       atomic.Pointer[Table]
	confirmedAt atomic.Pointer[time.Time] // nil before the first confirmation
}

// Confirm records that no newer table had been published at a time. It ignores earlier times than before, and the zero time.
func (r *Resolver) Confirm(at time.Time) {
	for {
		old := r.confirmedAt.Load()
		if at.IsZero() || old != nil && !at.After(*old) {
			return
		}
		if r.confirmedAt.CompareAndSwap(old, &at) {
			return
		}
	}
}

// AwaitCurrent waits until the table is current, and reports whether it is when the context ends.
func (r *Resolver) AwaitCurrent(ctx context.Context) bool {
	t := time.NewTicker(confirmCheckInterval)
	defer t.Stop()
	for !r.IsCurrent(time.Now(), 0) {
		select {
		case <-t.C:
		case <-ctx.Done():
			return r.IsCurrent(time.Now(), 0)
		}
	}
	return true
}

// Age returns how long ago the table was last confirmed as current; ok is false if it never was.
func (r *Resolver) Age(now time.Time) (age time.Duration, ok bool) {
	if at := r.confirmedAt.Load(); at != nil {
		return now.Sub(*at), true
	}
	return 0, false
}

// IsCurrent reports whether the table was confirmed within MaxAge and a grace. A host whose table is not current does not know
// whether a route or a key exists.
func (r *Resolver) IsCurrent(now time.Time, grace time.Duration) bool {
	age, ok := r.Age(now)
	return r.MaxAge == 0 || ok && age < r.MaxAge+grace
}

// Table returns the current table, or nil if none was published.
func (r *Resolver) Table() *Table {
	return r.table.Load()
}

// Publish makes t the current table unless the current one has the same or a newer version, and reports whether it did.
func (r *Resolver) Publish(t *Table) bool {
	for {
		old := r.table.Load()
		if old != nil && old.Version >= t.Version {
			return false
		}
		if r.table.CompareAndSwap(old, t) {
			return true
		}
	}
}
