package resolver

import (
	"cmp"
	"slices"
	"strings"
	"sync/atomic"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Route leads calls for a host name and path prefix to a queue.
type Route struct {
	HostName string
	Prefix   string
	Queue    model.Queue
}

// Table is one version of the configuration; it does not change once published.
type Table struct {
	Version    model.ConfigVersion
	Guarantees map[model.WorkspaceID]model.Accelerators
	MaxBody    model.Bytes

	routes map[string][]Route // by host, longest prefix first
	keys   map[string]model.WorkspaceID
}

// NewTable returns a table of the given routes and keys.
func NewTable(v model.ConfigVersion, routes []Route, keys map[string]model.WorkspaceID) *Table {
	t := &Table{Version: v, routes: map[string][]Route{}, keys: keys}
	for _, r := range routes {
		t.routes[r.HostName] = append(t.routes[r.HostName], r)
	}
	for _, rs := range t.routes {
		slices.SortStableFunc(rs, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Route returns the route with the longest prefix of the path, and the rest of the path.
func (t *Table) Route(host, path string) (r Route, rest string, ok bool) {
	for _, r := range t.routes[host] {
		if rest, ok := strings.CutPrefix(path, r.Prefix); ok {
			return r, rest, true
		}
	}
	return Route{}, "", false
}

// Workspace returns the workspace that a key belongs to.
func (t *Table) Workspace(key string) (model.WorkspaceID, bool) {
	ws, ok := t.keys[key]
	return ws, ok
}

// Resolver holds the table in force; its zero value has none.
type Resolver struct {
	table atomic.Pointer[Table]
}

// Table returns the table in force, or nil before the first one.
func (r *Resolver) Table() *Table {
	return r.table.Load()
}

// Publish puts a table in force unless a newer one already is.
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
