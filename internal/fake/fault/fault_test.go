package fault

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// startServer starts a server whose handler counts the requests that take effect.
func startServer(t *testing.T) (*Injector, *httptest.Server, *atomic.Int64) {
	injector, effects := &Injector{}, &atomic.Int64{}
	srv := httptest.NewServer(injector.Wrap(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { effects.Add(1) }), nil))
	t.Cleanup(srv.Close)
	return injector, srv, effects
}

// postFrom sends a POST request as the given entry host and returns the status.
func postFrom(ctx context.Context, url, host string) (int, error) {
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("x"))
	r.Header.Set(HeaderHostID, host)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	return resp.StatusCode, nil
}

// Guards against requests that take effect under the faults down and cut, or that have no effect when only the response is lost.
func TestFaultsDecideWhetherRequestTakesEffect(t *testing.T) {
	for _, tt := range []struct {
		name    string
		faults  Faults
		status  int // 0 if no response is expected
		effects int64
	}{
		{"none", Faults{}, 200, 1},
		{"slow", Faults{SlowMS: 1}, 200, 1},
		{"down", Faults{Down: true}, 503, 0},
		{"answer lost", Faults{ResponseLost: true}, 0, 1},
		{"cut", Faults{Cut: []model.HostID{"a"}}, 0, 0},
		{"cut from another host", Faults{Cut: []model.HostID{"b"}}, 200, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			injector, srv, effects := startServer(t)
			injector.SetFaults(tt.faults)
			status, err := postFrom(t.Context(), srv.URL, "a")
			is.Equal(status, tt.status)
			is.Equal(err != nil, tt.status == 0)
			is.Equal(effects.Load(), tt.effects)
		})
	}
}

// Guards against a frozen fake that discards received requests; they must take effect once the fault is cleared, even if the client gave up.
func TestFrozenRequestTakesEffectLate(t *testing.T) {
	is := is.New(t)
	injector, srv, effects := startServer(t)
	injector.SetFaults(Faults{Frozen: true})
	ctx, cancel := context.WithCancel(t.Context())
	errs := make(chan error, 1)
	go func() {
		_, err := postFrom(ctx, srv.URL, "a")
		errs <- err
	}()
	for injector.RequestStats()["bytes-in"] == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	is.True(<-errs != nil)
	is.Equal(effects.Load(), int64(0))
	injector.SetFaults(Faults{})
	for effects.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
}

// Guards against requests that take effect after the process that received them has ended.
func TestDropRequestsAbortsFrozenRequests(t *testing.T) {
	is := is.New(t)
	injector, srv, effects := startServer(t)
	injector.SetFaults(Faults{Frozen: true})
	errs := make(chan error, 1)
	go func() {
		_, err := postFrom(t.Context(), srv.URL, "a")
		errs <- err
	}()
	for injector.RequestStats()["bytes-in"] == 0 {
		time.Sleep(time.Millisecond)
	}
	injector.DropRequests()
	is.True(<-errs != nil)
	injector.SetFaults(Faults{})
	is.Equal(effects.Load(), int64(0))
}

// Guards against a silent cut that sends a response or closes the connection, and against one that lasts after the fault is cleared.
func TestSilentCut(t *testing.T) {
	is := is.New(t)
	injector, srv, effects := startServer(t)
	injector.SetFaults(Faults{Cut: []model.HostID{"a"}, CutSilent: true})
	ctx, cancel := context.WithCancel(t.Context())
	errs := make(chan error, 1)
	go func() {
		_, err := postFrom(ctx, srv.URL, "a")
		errs <- err
	}()
	for injector.RequestStats()["bytes-in"] == 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(len(errs), 0) // no response, and the connection is not closed
	cancel()
	is.True(<-errs != nil)
	for injector.RequestStats()["dropped"] == 0 {
		time.Sleep(time.Millisecond)
	}
	injector.SetFaults(Faults{})
	status, err := postFrom(t.Context(), srv.URL, "a")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(effects.Load(), int64(1))
}

// Guards against faults that apply to the admin interface, so that the faults of a down or frozen fake could not be cleared.
func TestFaultsDoNotAffectAdminInterface(t *testing.T) {
	is := is.New(t)
	injector, srv, _ := startServer(t)
	injector.SetFaults(Faults{Down: true, Frozen: true, Cut: []model.HostID{"a"}})
	resp, err := http.Post(srv.URL+"/admin/faults", "", strings.NewReader(`{"slow-ms":1}`))
	is.NoErr(err)
	resp.Body.Close()
	is.Equal(injector.Faults().SlowMS, Faults{SlowMS: 1}.SlowMS)
	is.True(!injector.Faults().Down)
}
