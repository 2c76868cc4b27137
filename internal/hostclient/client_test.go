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

// Guards against a list that is lost, or that looks newer than it is, while the service is down.
func TestKeepsLastList(t *testing.T) {
	is := is.New(t)
	var answer atomic.Value
	answer.Store(`{"hosts":[{"id":"w1","role":"worker","rack":"r","index":3,"state":"leaving"}]}`)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.Header.Get("Host-Id"), "h1")
		if s := answer.Load().(string); s != "" {
			_, _ = w.Write([]byte(s))
			return
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer srv.Close()
	c := NewClient(strings.TrimPrefix(srv.URL, "http://"), "h1", nil)
	is.True(c.Last().ReadAt.IsZero())
	before := time.Now()
	first := c.Read(t.Context())
	is.NoErr(first.Err)
	is.Equal(first.Hosts, []Host{{ID: "w1", Role: RoleWorker, Rack: "r", Index: 3, State: StateLeaving}})
	is.True(!first.ReadAt.Before(before) && first.Age(time.Now()) >= 0)
	for _, bad := range []string{"", "{", `{"hosts":7}`} {
		answer.Store(bad)
		s := c.Read(t.Context())
		is.True(s.Err != nil)
		is.Equal(s.Hosts, first.Hosts)
		is.Equal(s.ReadAt, first.ReadAt)
	}
	answer.Store(`{"hosts":[]}`)
	s := c.Read(t.Context())
	is.NoErr(s.Err)
	is.Equal(len(s.Hosts), 0)
}
