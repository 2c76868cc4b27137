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

// start serves a handler that counts its effects.
func start(t *testing.T) (*Injector, *httptest.Server, *atomic.Int64) {
	s, effects := &Injector{}, &atomic.Int64{}
	srv := httptest.NewServer(s.Wrap(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { effects.Add(1) }), nil))
	t.Cleanup(srv.Close)
	return s, srv, effects
}

func post(ctx context.Context, url, from string) (int, error) {
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("x"))
	r.Header.Set(HeaderHostID, from)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	return resp.StatusCode, nil
}

// Guards against faults that have the wrong effect: down and cut have none, a lost answer has one.
func TestFaultsAndTheirEffects(t *testing.T) {
	for _, x := range []struct {
		name    string
		faults  Faults
		status  int // 0: no answer
		effects int64
	}{
		{"none", Faults{}, 200, 1},
		{"slow", Faults{SlowMS: 1}, 200, 1},
		{"down", Faults{Down: true}, 503, 0},
		{"answer lost", Faults{AnswerLost: true}, 0, 1},
		{"cut", Faults{Cut: []model.HostID{"a"}}, 0, 0},
		{"cut from another host", Faults{Cut: []model.HostID{"b"}}, 200, 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			s, srv, effects := start(t)
			s.SetFaults(x.faults)
			status, err := post(t.Context(), srv.URL, "a")
			is.Equal(status, x.status)
			is.Equal(err != nil, x.status == 0)
			is.Equal(effects.Load(), x.effects)
		})
	}
}

// Guards against a frozen fake that forgets what it received: the effect comes late, after the client gave up.
func TestFrozenRequestTakesEffectLate(t *testing.T) {
	is := is.New(t)
	s, srv, effects := start(t)
	s.SetFaults(Faults{Frozen: true})
	ctx, cancel := context.WithCancel(t.Context())
	failed := make(chan error, 1)
	go func() {
		_, err := post(ctx, srv.URL, "a")
		failed <- err
	}()
	for s.RequestStats()["bytes-in"] == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	is.True(<-failed != nil)
	is.Equal(effects.Load(), int64(0))
	s.SetFaults(Faults{})
	for effects.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
}

// Guards against requests that take effect after the process that received them has ended.
func TestDropAbandonsHeldRequests(t *testing.T) {
	is := is.New(t)
	s, srv, effects := start(t)
	s.SetFaults(Faults{Frozen: true})
	failed := make(chan error, 1)
	go func() {
		_, err := post(t.Context(), srv.URL, "a")
		failed <- err
	}()
	for s.RequestStats()["bytes-in"] == 0 {
		time.Sleep(time.Millisecond)
	}
	s.DropRequests()
	is.True(<-failed != nil)
	s.SetFaults(Faults{})
	is.Equal(effects.Load(), int64(0))
}

// Guards against a silent cut that answers, and against one that cannot be healed.
func TestSilentCut(t *testing.T) {
	is := is.New(t)
	s, srv, effects := start(t)
	s.SetFaults(Faults{Cut: []model.HostID{"a"}, CutSilent: true})
	ctx, cancel := context.WithCancel(t.Context())
	failed := make(chan error, 1)
	go func() {
		_, err := post(ctx, srv.URL, "a")
		failed <- err
	}()
	for s.RequestStats()["bytes-in"] == 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(len(failed), 0) // neither answered nor closed
	cancel()
	is.True(<-failed != nil)
	for s.RequestStats()["dropped"] == 0 {
		time.Sleep(time.Millisecond)
	}
	s.SetFaults(Faults{})
	status, err := post(t.Context(), srv.URL, "a")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(effects.Load(), int64(1))
}

// Guards against switches that cannot be set while the fake is down or frozen.
func TestAdminIsNeverFaulty(t *testing.T) {
	is := is.New(t)
	s, srv, _ := start(t)
	s.SetFaults(Faults{Down: true, Frozen: true, Cut: []model.HostID{"a"}})
	resp, err := http.Post(srv.URL+"/admin/faults", "", strings.NewReader(`{"slow-ms":1}`))
	is.NoErr(err)
	resp.Body.Close()
	is.Equal(s.Faults().SlowMS, Faults{SlowMS: 1}.SlowMS)
	is.True(!s.Faults().Down)
}
