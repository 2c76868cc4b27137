package hostclient

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a cached list that is lost or looks newer than it is while the service is down.
func TestKeepsLastListDuringOutage(t *testing.T) {
	is := is.New(t)
	var body atomic.Value
	body.Store(`{"hosts":[{"id":"w1","role":"worker","rack":"r","index":3,"state":"leaving"}]}`)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.Header.Get("Host-Id"), "h1")
		if s := body.Load().(string); s != "" {
			_, _ = w.Write([]byte(s))
			return
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer srv.Close()
	c := NewClient(strings.TrimPrefix(srv.URL, "http://"), "h1", nil)
	is.True(c.Cached().ReadAt.IsZero())
	before := time.Now()
	first := c.Read(t.Context())
	is.NoErr(first.Err)
	is.Equal(first.Hosts, []Host{{ID: "w1", Role: RoleWorker, Rack: "r", Index: 3, State: StateLeaving}})
	is.True(!first.ReadAt.Before(before) && first.Age(time.Now()) >= 0)
	for _, bad := range []string{"", "{", `{"hosts":7}`} {
		body.Store(bad)
		s := c.Read(t.Context())
		is.True(s.Err != nil)
		is.Equal(s.Hosts, first.Hosts)
		is.Equal(s.ReadAt, first.ReadAt)
	}
	body.Store(`{"hosts":[]}`)
	s := c.Read(t.Context())
	is.NoErr(s.Err)
	is.Equal(len(s.Hosts), 0)
}

// Guards against a list that is transferred again although it is cached, a stale list that counts as current after the
// service has restarted or sent an undecodable list, and a list that looks old although the service has confirmed it.
func TestReadsOnlyChanges(t *testing.T) {
	is := is.New(t)
	tag, body := `W/"1"`, `{"hosts":[{"id":"w1"}]}`
	sent := 0
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", tag)
		if r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		sent++
		_, _ = w.Write([]byte(body))
	}))
	defer srv.Close()
	c := NewClient(strings.TrimPrefix(srv.URL, "http://"), "h1", nil)
	first := c.Read(t.Context())
	is.NoErr(first.Err)
	is.True(!first.Unchanged)
	again := c.Read(t.Context())
	is.NoErr(again.Err)
	is.True(again.Unchanged && again.ReadAt.After(first.ReadAt))
	is.Equal(again.Hosts, first.Hosts)
	is.Equal(sent, 1)
	tag, body = `W/"2"`, "{" // the list can't be decoded, so its tag must not be cached
	is.True(c.Read(t.Context()).Err != nil)
	body = `{"hosts":[{"id":"w2"}]}`
	third := c.Read(t.Context())
	is.NoErr(third.Err)
	is.True(!third.Unchanged)
	is.Equal(third.Hosts, []Host{{ID: "w2"}})
	is.Equal(sent, 3)
}
