package monitor

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutmux.example/chestnutmux/internal/hostclient"
	"chestnutmux.example/chestnutmux/internal/peerclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Config holds this host and the intervals; zero durations mean the defaults.
type Config struct {
	Self         model.HostID
	Domain       model.DomainID
	LocalEvery   time.Duration // between heartbeats within the failure domain, default 250 ms
	RemoteEvery  time.Duration // between heartbeats to other failure domains, default 2 s
	SuspectAfter int           // intervals without a heartbeat until a host is suspected, default 4
	StableAfter  int           // intervals that a suspected host must be heard before it is used again, default 4
}

func (c Config) withDefaults() Config {
	c.LocalEvery = cmp.Or(c.LocalEvery, 250*time.Millisecond)
	c.RemoteEvery = cmp.Or(c.RemoteEvery, 2*time.Second)
	c.SuspectAfter = cmp.Or(c.SuspectAfter, 4)
	c.StableAfter = cmp.Or(c.StableAfter, 4)
	return c
}

// Member is what is known about one entry host.
type Member struct {
	Host     hostclient.Host
	Beat     peerclient.Heartbeat // the last one, zero when none was heard
	HeardAt  time.Time            // of the last heartbeat, or of the listing before the first one
	StableAt time.Time            // a host that was suspected is used from this time on
	Live     bool                 // neither suspected nor unstable, leaving or draining
}

// Table is the membership as this host sees it; it is not safe for concurrent use.
type Table struct {
	cfg      Config
	members  map[model.HostID]*Member
	order    []model.HostID // sorted
	draining bool
}

// NewTable returns a table that holds only this host.
func NewTable(cfg Config) *Table {
	t := &Table{cfg: cfg.withDefaults(), members: map[model.HostID]*Member{}}
	t.SetHosts(time.Time{}, nil)
	return t
}

// SetDraining says whether this host gives up its roles.
func (t *Table) SetDraining(draining bool) { t.draining = draining }

// SetHosts replaces the listed hosts; hosts other than entry hosts are ignored.
// A new host counts as live until its heartbeats are missed, so that a host that
// starts does not take over from peers that it has not heard yet.
func (t *Table) SetHosts(now time.Time, hosts []hostclient.Host) {
	listed := make(map[model.HostID]bool, len(hosts)+1)
	for _, h := range hosts {
		if h.Role != hostclient.RoleEntry {
			continue
		}
		listed[h.ID] = true
		if m := t.members[h.ID]; m != nil {
			m.Host = h
		} else {
			t.members[h.ID] = &Member{Host: h, HeardAt: now}
		}
	}
	if self := t.cfg.Self; !listed[self] {
		listed[self] = true
		if t.members[self] == nil {
			t.members[self] = &Member{Host: hostclient.Host{
				ID: self, Role: hostclient.RoleEntry, Domain: t.cfg.Domain, State: hostclient.StateLive,
			}}
		}
	}
	t.order = t.order[:0]
	for id := range t.members {
		if listed[id] {
			t.order = append(t.order, id)
		} else {
			delete(t.members, id)
		}
	}
	slices.Sort(t.order)
}

// Heard notes a heartbeat of a listed host, received or in reply to ours.
func (t *Table) Heard(now time.Time, b peerclient.Heartbeat) {
	m := t.members[b.Host]
	if m == nil || b.Host == t.cfg.Self {
		return
	}
	every := t.every(m)
	if now.Sub(m.HeardAt) >= time.Duration(t.cfg.SuspectAfter)*every {
		m.StableAt = now.Add(time.Duration(t.cfg.StableAfter) * every)
	}
	m.HeardAt, m.Beat = now, b
}

// Members returns all listed entry hosts in the order of their ids.
func (t *Table) Members(now time.Time) []Member {
	out := make([]Member, 0, len(t.order))
	for _, id := range t.order {
		m := *t.members[id]
		m.Live = t.live(now, &m)
		out = append(out, m)
	}
	return out
}

// Planner returns the live host of the failure domain that comes first by
// rendezvous hash, and false when there is none.
func (t *Table) Planner(now time.Time, domain model.DomainID) (model.HostID, bool) {
	var best model.HostID
	var top uint64
	for _, id := range t.order {
		m := t.members[id]
		if m.Host.Domain != domain || !t.live(now, m) {
			continue
		}
		if h := weight(domain, id); best == "" || h > top {
			best, top = id, h
		}
	}
	return best, best != ""
}

// Rank returns the position of this host among the live entry hosts of the given
// failure domains in the order of their ids, and their count; no domains means all.
// The count is 0 when this host is not among them.
func (t *Table) Rank(now time.Time, domains ...model.DomainID) (rank, count int) {
	found := false
	for _, id := range t.order {
		m := t.members[id]
		if len(domains) > 0 && !slices.Contains(domains, m.Host.Domain) || !t.live(now, m) {
			continue
		}
		if id == t.cfg.Self {
			rank, found = count, true
		}
		count++
	}
	if !found {
		return 0, 0
	}
	return rank, count
}

// Suspected reports whether the host's heartbeats are missed.
func (t *Table) Suspected(now time.Time, id model.HostID) bool {
	m := t.members[id]
	return m != nil && t.suspected(now, m)
}

func (t *Table) suspected(now time.Time, m *Member) bool {
	return m.Host.ID != t.cfg.Self && now.Sub(m.HeardAt) >= time.Duration(t.cfg.SuspectAfter)*t.every(m)
}

func (t *Table) live(now time.Time, m *Member) bool {
	if m.Host.State != hostclient.StateLive {
		return false
	}
	if m.Host.ID == t.cfg.Self {
		return !t.draining
	}
	return !m.Beat.Draining && !t.suspected(now, m) && !now.Before(m.StableAt)
}

func (t *Table) every(m *Member) time.Duration {
	if m.Host.Domain == t.cfg.Domain {
		return t.cfg.LocalEvery
	}
	return t.cfg.RemoteEvery
}

// weight is the rendezvous hash; the separator keeps different pairs apart.
func weight(domain model.DomainID, host model.HostID) uint64 {
	return xxhash.Sum64String(string(domain) + "\x00" + string(host))
}

// Share returns this host's part of a runner's slots for its rank among count hosts.
// The remainder starts at a place that depends on the runner, so that no host gets it everywhere.
func Share(slots, rank, count int, runner model.HostID) int {
	if count <= 0 || rank < 0 || rank >= count {
		return 0
	}
	n := slots / count
	turn := int(xxhash.Sum64String(string(runner)) % uint64(count))
	if (rank+turn)%count < slots%count {
		n++
	}
	return n
}
