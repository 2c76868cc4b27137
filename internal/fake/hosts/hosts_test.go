package hosts

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/hostclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Guards against changes that become visible before the lag is over, or before earlier changes after the lag was reduced.
func TestChangesBecomeVisibleAfterLag(t *testing.T) {
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
	is.Equal(h.VisibleHosts("").Hosts, []hostclient.Host{{ID: "a", State: hostclient.StateLive}})
	now = now.Add(time.Millisecond)
	is.Equal(h.VisibleHosts("").Hosts, []hostclient.Host{{ID: "c", State: hostclient.StateLive}})
	h.Update("c", func(x *hostclient.Host) { x.State = hostclient.StateLeaving })
	is.Equal(h.VisibleHosts("").Hosts[0].State, hostclient.StateLeaving) // the lag is 0 now
}

// Guards against a route that applies to all viewers; a relay could then not interrupt the connection between just two hosts.
func TestRoutesDependOnViewer(t *testing.T) {
	is := is.New(t)
	h := New(Options{}, hostclient.Host{ID: "a", Addr: "direct"})
	h.SetRoute("b", "a", "relay")
	is.Equal(h.VisibleHosts("b").Hosts[0].Addr, "relay")
	is.Equal(h.VisibleHosts("c").Hosts[0].Addr, "direct")
}

// Guards against a 304 response although the list has changed, and against a compressed list that the client cannot decode.
func TestClientReadsChangedList(t *testing.T) {
	is := is.New(t)
	var all []hostclient.Host
	for i := range 100 {
		all = append(all, hostclient.Host{ID: model.HostID(fmt.Sprintf("w%02d", i)), State: hostclient.StateLive})
	}
	h := New(Options{}, all...)
	srv := httptest.NewServer(h.Handler())
	defer srv.Close()
	c := hostclient.NewClient(strings.TrimPrefix(srv.URL, "http://"), "b", nil)
	first := c.Read(t.Context())
	is.NoErr(first.Err)
	is.Equal(first.Hosts, all)
	is.True(c.Read(t.Context()).Unchanged)
	for _, change := range []func(){
		func() { h.Remove("w07") },
		func() { h.Put(all[7]) },
		func() { h.Update("w07", func(x *hostclient.Host) { x.State = hostclient.StateLeaving }) },
		func() { h.SetRoute("b", "w07", "relay") },
	} {
		change()
		result := c.Read(t.Context())
		is.NoErr(result.Err)
		is.True(!result.Unchanged)
		is.Equal(result.Hosts, h.VisibleHosts("b").Hosts)
	}
}
