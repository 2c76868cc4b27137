package hosts

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/hostclient"
)

// Guards against changes that show before the lag, or overtake earlier ones when the lag shrinks.
func TestChangesShowAfterTheLag(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	h := New(Options{Lag: 2 * time.Second, Now: func() time.Time { return now }},
		hostclient.Host{ID: "a", State: hostclient.StateLive})
	is.True(h.Update("a", func(x *hostclient.Host) { x.State = hostclient.StateLeaving }))
	is.True(!h.Update("b", func(*hostclient.Host) {}))
	h.SetLag(0)
	is.True(h.Remove("a"))
	is.True(!h.Remove("a"))
	h.Put(hostclient.Host{ID: "c", State: hostclient.StateLive})
	now = now.Add(1999 * time.Millisecond)
	is.Equal(h.List("").Hosts, []hostclient.Host{{ID: "a", State: hostclient.StateLive}})
	now = now.Add(time.Millisecond)
	is.Equal(h.List("").Hosts, []hostclient.Host{{ID: "c", State: hostclient.StateLive}})
	h.Update("c", func(x *hostclient.Host) { x.State = hostclient.StateLeaving })
	is.Equal(h.List("").Hosts[0].State, hostclient.StateLeaving) // no lag any more
}

// Guards against relays that all viewers share, which could not separate two entry hosts.
func TestRoutesDependOnTheViewer(t *testing.T) {
	is := is.New(t)
	h := New(Options{}, hostclient.Host{ID: "a", PeerAddr: "direct"})
	h.SetRoute("b", "a", "relay")
	is.Equal(h.List("b").Hosts[0].PeerAddr, "relay")
	is.Equal(h.List("c").Hosts[0].PeerAddr, "direct")
}
