package claimer

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chestnutmux.example/chestnutmux/internal/asserter"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// The seed of the property tests is fixed, so that a failure repeats; the flags of the test run override it.
func init() {
	_ = flag.Set("rapid.seed", "1")
}

var epoch = time.UnixMilli(1_800_000_000_000)

func newID(at time.Time, n int) model.RequestID {
	ms := fmt.Sprintf("%012x", at.UnixMilli())
	return model.RequestID(fmt.Sprintf("%s-%s-7000-8000-%012x", ms[:8], ms[8:], n))
}

type stored struct {
	Claim
	ref Ref
	at  time.Time
}

// world is a log with its hosts; faults are set by the test.
type world struct {
	now     time.Time
	log     []stored
	late    []stored // appends whose record lands only later
	records int
	hosts   map[model.HostID]*host
}

// host is one entry host: its claimer and its view of the log.
type host struct {
	w       *world
	id      model.HostID
	c       *Claimer
	applied int
	start   time.Time // of the view
	fault   string    // of the next append or read
	during  func()    // called once in the middle of the next append
}

func newWorld(n int) *world {
	w := &world{now: epoch, hosts: map[model.HostID]*host{}}
	for i := range n {
		w.restart(model.HostID(fmt.Sprint("h", i)))
	}
	return w
}

// restart replaces the host by a process that knows nothing but the log.
func (w *world) restart(id model.HostID) {
	h := &host{w: w, id: id}
	h.c = New(Options{Host: id, Appender: h, Index: h, Results: w, MaxResults: 4, Now: func() time.Time { return w.now }, OnViolation: (&asserter.Asserter{PanicOnViolation: true}).RecordViolation})
	w.hosts[id] = h
}

func (h *host) Append(_ context.Context, c Claim) (Receipt, error) {
	w, fault := h.w, h.fault
	h.fault = ""
	if f := h.during; f != nil {
		h.during = nil
		f()
	}
	if fault == "not-sent" {
		return Receipt{}, ErrNotSent
	}
	w.records++
	s := stored{Claim: c, ref: Ref{Record: fmt.Sprint(w.records)}, at: w.now}
	switch fault {
	case "request-lost":
		return Receipt{}, errors.New("timeout")
	case "lands-late":
		w.late = append(w.late, s)
		return Receipt{}, errors.New("timeout")
	}
	w.log = append(w.log, s)
	if fault == "answer-lost" {
		return Receipt{}, errors.New("timeout")
	}
	if fault == "read-fails" {
		h.fault = fault
	}
	return Receipt{Offset: model.Offset(len(w.log) - 1), Ref: s.ref}, nil
}

func (h *host) WaitApplied(_ context.Context, o model.Offset) error {
	if h.fault == "read-fails" {
		h.fault = ""
		return errors.New("log is down")
	}
	h.applied = max(h.applied, int(o)+1)
	return nil
}

func (h *host) Winner(ws model.WorkspaceID, id model.RequestID) (Won, bool) {
	for _, s := range h.w.log[:h.applied] {
		if s.Workspace == ws && s.Request == id && !s.at.Before(h.start) && h.w.now.Sub(s.at) < DefaultWindow+DefaultClockSkew {
			return Won{Host: s.Host, Ref: s.ref}, true
		}
	}
	return Won{}, false
}

func (h *host) ViewStart() time.Time { return h.start }

func (w *world) FetchResult(ctx context.Context, host model.HostID, ws model.WorkspaceID, id model.RequestID) (Result, error) {
	// A host that is itself in the middle of the claim can't be waited for in this single-threaded world.
	ctx, cancel := context.WithCancel(ctx)
	cancel()
	if res, ok := w.hosts[host].c.Answer(ctx, ws, id); ok {
		return res, nil
	}
	return Result{}, errors.New("nothing known")
}

// Guards against a second run of a request, against not-run said of a request that ran, and against different
// answers to repeats: over hosts, restarts, lost and late appends, trimmed views, and two hosts at once.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(3)
		var ids []model.RequestID
		runs, calls := map[model.RequestID]int{}, map[model.RequestID]int{}
		draw := func(t *rapid.T) *host {
			return w.hosts[model.HostID(fmt.Sprint("h", rapid.IntRange(0, 2).Draw(t, "host")))]
		}
		var call func(t *rapid.T, h *host, id model.RequestID, nested bool)
		call = func(t *rapid.T, h *host, id model.RequestID, nested bool) {
			h.fault = rapid.SampledFrom([]string{"", "", "", "not-sent", "request-lost", "answer-lost", "lands-late", "read-fails"}).Draw(t, "fault")
			if other := draw(t); !nested && other != h && rapid.Bool().Draw(t, "both") {
				h.during = func() { call(t, other, id, true) }
			}
			calls[id]++
			repeat, before := calls[id] > 1, runs[id]
			ran := false
			runError := rapid.SampledFrom([]model.Outcome{"", "", model.OutcomeNotRun, model.OutcomeUnknown}).Draw(t, "run")
			res := h.c.Do(context.Background(), Request{Workspace: "w", ID: id, Digest: string(id), Repeat: repeat}, func(context.Context) Result {
				ran = true
				if runError == model.OutcomeNotRun {
					return Result{Error: notRun(model.ErrorKindUpstream, "refused", "")}
				}
				runs[id]++
				if runError == model.OutcomeUnknown {
					return Result{Error: unknown(model.ErrorKindUpstream, "no answer")}
				}
				return Result{Body: []byte(id)}
			})
			h.fault, h.during = "", nil
			switch {
			case runs[id] > 1:
				t.Fatalf("request %s ran %d times", id, runs[id])
			case res.Error == nil && (string(res.Body) != string(id) || runs[id] != 1):
				t.Fatalf("answered %q with %d runs", res.Body, runs[id])
			case res.Error != nil && res.Error.Outcome == model.OutcomeNotRun && ran && runs[id] > before:
				t.Fatalf("call of %s ran it and was told %v", id, res.Error)
			case res.Error != nil && res.Error.Outcome == model.OutcomeNotRun && repeat && runs[id] > 0:
				t.Fatalf("repeat of %s was told %v after it ran", id, res.Error)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"new": func(t *rapid.T) {
				skew := time.Duration(rapid.IntRange(-60, 60).Draw(t, "skew")) * time.Second
				ids = append(ids, newID(w.now.Add(skew), len(ids)))
				call(t, draw(t), ids[len(ids)-1], false)
			},
			"repeat": func(t *rapid.T) {
				if len(ids) > 0 {
					call(t, draw(t), rapid.SampledFrom(ids).Draw(t, "id"), false)
				}
			},
			"land": func(*rapid.T) {
				for _, s := range w.late {
					s.at = w.now
					w.log = append(w.log, s)
				}
				w.late = nil
			},
			"read": func(t *rapid.T) { draw(t).applied = len(w.log) },
			"restart": func(t *rapid.T) {
				h := draw(t)
				w.restart(h.id)
				if rapid.Bool().Draw(t, "trimmed") {
					w.hosts[h.id].start = w.now.Add(-time.Duration(rapid.IntRange(0, 20).Draw(t, "kept")) * time.Minute)
				}
			},
			"time": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 600).Draw(t, "seconds")) * time.Second)
			},
		})
	})
}

func call(c *Claimer, ctx context.Context, req Request, body string) Result {
	return c.Do(ctx, req, func(context.Context) Result { return Result{Body: []byte(body)} })
}

// Guards against ids whose claims may be forgotten or unseen, and against forms of one id that count as two.
func TestWindow(t *testing.T) {
	tests := []struct {
		name string
		id   model.RequestID
		view time.Time
		ok   bool
	}{
		{name: "now", id: newID(epoch, 1), ok: true},
		{name: "oldest", id: newID(epoch.Add(-DefaultWindow), 1), ok: true},
		{name: "too old", id: newID(epoch.Add(-DefaultWindow-time.Millisecond), 1)},
		{name: "too far ahead", id: newID(epoch.Add(DefaultClockSkew+time.Millisecond), 1)},
		{name: "older than the view", id: newID(epoch, 1), view: epoch.Add(-2*DefaultClockSkew + time.Millisecond)},
		{name: "within the view", id: newID(epoch, 1), view: epoch.Add(-2 * DefaultClockSkew), ok: true},
		{name: "upper case", id: "01A3185C-5000-7000-8000-00000000000A"},
		{name: "version 4", id: "01a3185c-5000-4000-8000-00000000000a"},
		{name: "no uuid", id: "request-1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(1)
			w.hosts["h0"].start = tt.view
			res := call(w.hosts["h0"].c, context.Background(), Request{ID: tt.id}, "x")
			is.Equal(res.Error == nil, tt.ok)
			is.Equal(len(w.log) == 1, tt.ok)
			if !tt.ok {
				is.Equal(res.Error.Outcome, model.OutcomeNotRun)
			}
		})
	}
}

// Guards against a second run by a concurrent call, an abort because the first caller left, and an answer given
// to a different request with the same id.
func TestConcurrentCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newWorld(1).hosts["h0"].c
		req := Request{Workspace: "w", ID: newID(epoch, 1), Digest: "d"}
		ctx, leave := context.WithCancel(context.Background())
		release := make(chan struct{})
		var wg sync.WaitGroup
		wg.Go(func() {
			c.Do(ctx, req, func(ctx context.Context) Result {
				<-release
				if ctx.Err() != nil {
					t.Error("run was aborted")
				}
				return Result{Body: []byte("first")}
			})
		})
		synctest.Wait()
		leave()
		wg.Go(func() {
			if res := call(c, context.Background(), req, "second"); string(res.Body) != "first" {
				t.Errorf("concurrent call got %+v", res)
			}
		})
		res := call(c, ctx, req, "third") // its context has ended
		is.Equal(res.Error.Outcome, model.OutcomeUnknown)
		synctest.Wait()
		close(release)
		wg.Wait()
		req.Digest = "other"
		is.Equal(call(c, context.Background(), req, "x").Error.Kind, model.ErrorKindConflict)
	})
}

// Guards against results that outgrow the bounds, and against a second run of an id whose result was dropped.
func TestBoundedResults(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	h := w.hosts["h0"]
	h.c = New(Options{Host: "h0", Appender: h, Index: h, Results: w, MaxBytes: 3 * recordBytes, Now: func() time.Time { return w.now }})
	for i := range 10 {
		is.Equal(call(h.c, context.Background(), Request{ID: newID(epoch, i)}, "x").Error, nil)
	}
	is.Equal(len(h.c.store.records), 2) // two results with a body of one byte fit
	res := call(h.c, context.Background(), Request{ID: newID(epoch, 0)}, "again")
	is.Equal(res.Error.Outcome, model.OutcomeUnknown)
	w.now = epoch.Add(time.Hour)
	h.c.store.prune(w.now, 0)
	is.Equal(len(h.c.store.records), 0)
	is.Equal(h.c.store.bytes, model.Bytes(0))
}

// Guards against a caller that is told to retry with an id whose repeats can only get the same refusal.
func TestRefusedByRunnerSpendsID(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	req := Request{ID: newID(epoch, 1)}
	first := w.hosts["h0"].c.Do(context.Background(), req, func(context.Context) Result {
		return Result{Error: notRun(model.ErrorKindOverloaded, "full", "retry later")}
	})
	is.Equal(first.Error.Remedy, spentRemedy)
	req.Repeat = true
	for _, h := range w.hosts {
		h.applied = 1
		is.Equal(call(h.c, context.Background(), req, "x").Error, first.Error) // certain for repeats, too
	}
}

// Guards against a host that speaks for the claim of its earlier process: it refused a repeat during an outage, but
// the request ran before the restart.
func TestRefusalIsNoAnswerForEarlierProcess(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	req := Request{ID: newID(epoch, 1)}
	is.Equal(call(w.hosts["h0"].c, context.Background(), req, "x").Error, nil)
	w.restart("h0")
	w.hosts["h0"].fault = "request-lost"
	call(w.hosts["h0"].c, context.Background(), req, "x") // the caller does not say that this is a repeat
	w.hosts["h0"].applied, w.hosts["h1"].applied = 1, 1
	is.Equal(call(w.hosts["h1"].c, context.Background(), req, "x").Error.Outcome, model.OutcomeUnknown)
}
