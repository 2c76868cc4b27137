package monitor

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chestnutmux.example/chestnutmux/internal/hostclient"
	"chestnutmux.example/chestnutmux/internal/peerclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// The seed of the property tests is fixed, so that a failure repeats; the flags of the test run override it.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

func entry(id model.HostID, d model.DomainID) hostclient.Host {
	return hostclient.Host{ID: id, Role: hostclient.RoleEntry, Domain: d, PeerAddr: string(id), State: hostclient.StateLive}
}

// Guards against roles for suspected, returning, leaving or draining hosts, and against a
// starting host that takes over from peers that it has not heard yet.
func TestLiveness(t *testing.T) {
	is := is.New(t)
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	tab := NewTable(Config{Self: "a", Domain: "d"})
	hosts := []hostclient.Host{entry("a", "d"), entry("b", "d"), entry("c", "e")}
	tab.SetHosts(at(0), hosts)
	count := func(ms int) int { _, n := tab.Rank(at(ms)); return n }
	is.Equal(count(999), 3)
	is.Equal(count(1000), 2) // b was never heard
	is.Equal(count(8000), 1) // c neither, its domain has the longer interval
	tab.Heard(at(8000), peerclient.Heartbeat{Host: "b"})
	is.Equal(count(8100), 1) // not stable yet
	for ms := 8250; ms <= 9000; ms += 250 {
		tab.Heard(at(ms), peerclient.Heartbeat{Host: "b"})
	}
	is.Equal(count(9000), 2)
	tab.Heard(at(9100), peerclient.Heartbeat{Host: "b", Draining: true})
	is.Equal(count(9100), 1)
	tab.Heard(at(9200), peerclient.Heartbeat{Host: "b"})
	hosts[1].State = hostclient.StateLeaving
	tab.SetHosts(at(9200), hosts)
	is.Equal(count(9200), 1)
	tab.SetDraining(true)
	is.Equal(count(9200), 0)
	_, ok := tab.Planner(at(9200), "d")
	is.True(!ok)
}

// Guards against a planner choice that depends on the observer or moves without need,
// and against slots that are given twice or to nobody.
func TestDivision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "hosts")
		var hosts []hostclient.Host
		for i := range n {
			hosts = append(hosts, entry(model.HostID(fmt.Sprintf("h%d", i)), "d"))
		}
		now := time.Unix(1000, 0)
		slots, runner := rapid.IntRange(0, 20).Draw(t, "slots"), model.HostID(rapid.String().Draw(t, "runner"))
		planners := map[model.HostID]bool{}
		sum := 0
		for _, h := range hosts {
			tab := NewTable(Config{Self: h.ID, Domain: "d"})
			tab.SetHosts(now, hosts)
			p, _ := tab.Planner(now, "d")
			planners[p] = true
			rank, count := tab.Rank(now, "d")
			sum += Share(slots, rank, count, runner)
			rest := slices.DeleteFunc(slices.Clone(hosts), func(x hostclient.Host) bool { return x.ID != p && x.ID != h.ID })
			tab.SetHosts(now, rest)
			if q, _ := tab.Planner(now, "d"); q != p {
				t.Fatalf("planner moved from %s to %s, which was live before", p, q)
			}
		}
		if len(planners) != 1 || sum != slots {
			t.Fatalf("planners %v, %d of %d slots", planners, sum, slots)
		}
	})
}

// meshed passes heartbeats between drivers without a network.
type meshed struct {
	mu      sync.Mutex
	drivers map[string]*Driver
}

func (m *meshed) Heartbeat(_ context.Context, addr string, b peerclient.Heartbeat) (peerclient.Heartbeat, error) {
	m.mu.Lock()
	d := m.drivers[addr]
	m.mu.Unlock()
	return d.Heard(b), nil
}

// Guards against a driver that does not pass on heartbeats or does not end.
func TestDriverExchangesHeartbeats(t *testing.T) {
	is := is.New(t)
	m := &meshed{drivers: map[string]*Driver{}}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for _, id := range []model.HostID{"a", "b"} {
		d := NewDriver(Config{Self: id, Domain: "d", LocalEvery: 5 * time.Millisecond, SuspectAfter: 1000}, m, func() peerclient.Heartbeat {
			return peerclient.Heartbeat{Host: id, Domain: "d", Version: 7}
		})
		d.SetHosts([]hostclient.Host{entry("a", "d"), entry("b", "d")})
		m.drivers[string(id)] = d
	}
	for _, d := range m.drivers {
		wg.Go(func() { d.Run(ctx) })
	}
	for _, d := range m.drivers {
		for v := range d.Views() {
			if len(v.Members) == 2 && v.Members[0].Beat.Version+v.Members[1].Beat.Version == 7 {
				break
			}
		}
	}
	cancel()
	wg.Wait()
	is.Equal(m.drivers["a"].View().Planner, m.drivers["b"].View().Planner)
}
