package connlimiter

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against bounds that are exceeded, requests in progress that are cut off, and young connections that give way.
func TestTableKeepsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{Total: rapid.IntRange(1, 20).Draw(t, "total"), PerAddress: rapid.IntRange(0, 8).Draw(t, "per address")}
		table := &Table{}
		table.SetLimits(l)
		now := time.Unix(1000, 0)
		type state struct {
			addr  netip.Addr
			since time.Time // zero while served
		}
		open := map[*Entry]state{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 2).Draw(t, "step") > 0 {
				addr := netip.AddrFrom4([4]byte{10, 0, 0, byte(rapid.IntRange(1, 3).Draw(t, "addr"))})
				added, evicted := table.Add(addr, now)
				if s, found := open[evicted]; evicted != nil && (!found || s.since.IsZero() || now.Sub(s.since) < minWait) {
					t.Fatal("a connection was evicted that serves a request or is young")
				}
				delete(open, evicted)
				if added != nil {
					open[added] = state{addr, now}
				}
			} else {
				for e, s := range open {
					switch rapid.IntRange(0, 2).Draw(t, "change") {
					case 0:
						e.SetServed()
						open[e] = state{addr: s.addr}
					case 1:
						e.SetWaiting(now, false)
						open[e] = state{s.addr, now}
					default:
						table.Remove(e)
						delete(open, e)
					}
					break
				}
			}
			perAddr := map[netip.Addr]int{}
			for _, s := range open {
				perAddr[s.addr]++
				if l.PerAddress > 0 && perAddr[s.addr] > l.PerAddress {
					t.Fatal("too many connections of an address")
				}
			}
			if table.Len() != len(open) || len(open) > l.Total {
				t.Fatalf("%d connections, %d in the table, at most %d", len(open), table.Len(), l.Total)
			}
		}
	})
}

// Guards against refusals while a connection that waits for its client could give way.
func TestWaitingConnectionGivesWay(t *testing.T) {
	is := is.New(t)
	table, now := &Table{}, time.Unix(1000, 0)
	table.SetLimits(Limits{Total: 2})
	first, _ := table.Add(netip.Addr{}, now)
	second, _ := table.Add(netip.Addr{}, now.Add(time.Millisecond))
	refused, evicted := table.Add(netip.Addr{}, now.Add(minWait/2))
	is.True(refused == nil && evicted == nil)
	added, evicted := table.Add(netip.Addr{}, now.Add(2*minWait))
	is.True(added != nil && evicted == first)
	second.SetServed()
	added.SetServed()
	refused, evicted = table.Add(netip.Addr{}, now.Add(time.Hour))
	is.True(refused == nil && evicted == nil)
}

// Guards against bodies that hold memory while others are refused, and idle connections that give way in place of them.
func TestOnlyBodiesGiveWayForMemory(t *testing.T) {
	is := is.New(t)
	table, now := &Table{}, time.Unix(1000, 0)
	_, _ = table.Add(netip.Addr{}, now.Add(-time.Minute))
	body, _ := table.Add(netip.Addr{}, now)
	is.True(table.EvictBody(now.Add(time.Minute)) == nil)
	body.SetWaiting(now, true)
	is.True(table.EvictBody(now.Add(minWait/2)) == nil)
	is.Equal(table.EvictBody(now.Add(2*minWait)), body)
	is.Equal(table.Len(), 1)
}

// Guards against requests that are carried out although their connection has given way.
func TestEvictedConnectionServesNothing(t *testing.T) {
	is := is.New(t)
	table, now := &Table{}, time.Unix(1000, 0)
	e, _ := table.Add(netip.Addr{}, now)
	is.True(e.SetWaiting(now, true))
	is.Equal(table.EvictBody(now.Add(2*minWait)), e)
	is.True(!e.SetServed())
	is.True(!e.SetWaiting(now, true))
}

// Guards against the eviction of a connection that begins to serve a request while another one is compared.
func TestServedConnectionIsNotEvicted(t *testing.T) {
	for range 2000 {
		is := is.New(t)
		table, now := &Table{}, time.Unix(1000, 0)
		e, _ := table.Add(netip.Addr{}, now)
		e.SetWaiting(now, true)
		served := make(chan bool)
		go func() { served <- e.SetServed() }()
		evicted := table.EvictBody(now.Add(2 * minWait))
		is.Equal(<-served, evicted == nil)
	}
}
