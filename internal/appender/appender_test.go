package appender

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chestnutmux.example/chestnutmux/internal/logclient"
	"chestnutmux.example/chestnutmux/pkg/model"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// The seed of the property tests is fixed, so that a failure repeats; the flags of the test run override it.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "3000")
}

// reaction is what the stub log does with one append.
type reaction struct {
	Delay  time.Duration
	Keep   bool // the record takes effect
	Answer bool // the answer arrives; without Keep it is a refusal
}

// stubLog follows a script and then accepts everything.
type stubLog struct {
	mu       sync.Mutex
	script   []reaction
	records  []logclient.Record
	starts   []time.Time
	inFlight int
	most     int
}

func (l *stubLog) Append(ctx context.Context, _ logclient.Stream, id string, data json.RawMessage) (model.Offset, error) {
	l.mu.Lock()
	re := reaction{Keep: true, Answer: true}
	if len(l.script) > 0 {
		re, l.script = l.script[0], l.script[1:]
	}
	l.starts = append(l.starts, time.Now())
	l.inFlight++
	l.most = max(l.most, l.inFlight)
	l.mu.Unlock()
	select {
	case <-time.After(re.Delay):
	case <-ctx.Done():
		re.Answer = false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	offset := model.Offset(len(l.records))
	if re.Keep {
		l.records = append(l.records, logclient.Record{Offset: offset, ID: id, Data: data})
	}
	switch {
	case !re.Answer:
		return 0, &model.Error{Outcome: model.OutcomeUnknown, Kind: model.KindLogUnavailable}
	case !re.Keep:
		return 0, &model.Error{Outcome: model.OutcomeNotRun, Kind: model.KindLogUnavailable}
	}
	return offset, nil
}

// entries returns the entries that readers see: records with a repeated id are dropped.
func (l *stubLog) entries() (map[int]int, error) {
	seen, content := map[int]int{}, map[string]string{}
	for _, r := range l.records {
		if first, ok := content[r.ID]; ok {
			if first != string(r.Data) {
				return nil, errors.Newf("record %s has two contents", r.ID)
			}
			continue
		}
		content[r.ID] = string(r.Data)
		var list []int
		if err := json.Unmarshal(r.Data, &list); err != nil {
			return nil, err
		}
		for _, e := range list {
			seen[e]++
		}
	}
	return seen, nil
}

func outcome(err error) model.Outcome {
	var e *model.Error
	if errors.As(err, &e) {
		return e.Outcome
	}
	return model.OutcomeAnswered
}

func kind(err error) model.ErrorKind {
	var e *model.Error
	errors.As(err, &e)
	return e.Kind
}

type caller struct {
	Start, Patience time.Duration
}

// Lost answers, refusals, slow appends, impatient callers and a shutdown at any time must not lose an entry that was
// reported as appended, duplicate one, or leave one in the log that was reported as not run.
func TestOutcomesAreTrue(t *testing.T) {
	ms := func(low, high int) *rapid.Generator[time.Duration] {
		return rapid.Map(rapid.IntRange(low, high), func(n int) time.Duration { return time.Duration(n) * time.Millisecond })
	}
	reactions := rapid.Custom(func(t *rapid.T) reaction {
		return reaction{ms(0, 8000).Draw(t, "delay"), rapid.Bool().Draw(t, "keep"), rapid.Bool().Draw(t, "answer")}
	})
	callers := rapid.Custom(func(t *rapid.T) caller {
		return caller{ms(0, 6000).Draw(t, "start"), ms(0, 12000).Draw(t, "patience")}
	})
	rapid.Check(t, func(rt *rapid.T) {
		log := &stubLog{script: rapid.SliceOfN(reactions, 0, 8).Draw(rt, "script")}
		crowd := rapid.SliceOfN(callers, 1, 12).Draw(rt, "callers")
		drainAt, stopAt := ms(0, 15000).Draw(rt, "drain at"), ms(0, 15000).Draw(rt, "stop after")
		results := make([]Result, len(crowd))
		errs := make([]error, len(crowd))
		synctest.Test(t, func(t *testing.T) {
			a := New(Config{Log: log, Stream: logclient.StreamJobs, Host: "h"})
			ctx, stop := context.WithCancel(t.Context())
			go a.Run(ctx)
			var wg sync.WaitGroup
			for i, c := range crowd {
				wg.Go(func() {
					time.Sleep(c.Start)
					ctx, cancel := context.WithTimeout(t.Context(), c.Patience)
					defer cancel()
					results[i], errs[i] = a.Append(ctx, json.RawMessage(fmt.Sprint(i)))
				})
			}
			time.Sleep(drainAt)
			drainCtx, cancel := context.WithTimeout(t.Context(), stopAt)
			_ = a.Drain(drainCtx) // its error is checked by TestDrain
			cancel()
			stop()
			wg.Wait()
			<-a.stopped
		})
		seen, err := log.entries()
		if err != nil {
			rt.Fatal(err)
		}
		for i := range crowd {
			switch n := seen[i]; outcome(errs[i]) {
			case model.OutcomeAnswered:
				var list []int
				rec := log.records[results[i].Offset]
				if json.Unmarshal(rec.Data, &list) != nil || n != 1 || list[results[i].Index] != i || rec.ID != results[i].RecordID {
					rt.Fatalf("entry %d is %d times in the log, reported at %+v", i, n, results[i])
				}
			case model.OutcomeNotRun:
				if n != 0 {
					rt.Fatalf("entry %d is in the log but was reported as not run: %v", i, errs[i])
				}
			default:
				if n > 1 {
					rt.Fatalf("entry %d is %d times in the log", i, n)
				}
			}
		}
		for i := 1; i < len(log.starts); i++ {
			if d := log.starts[i].Sub(log.starts[i-1]); d < interval {
				rt.Fatalf("appends started %v apart", d)
			}
		}
		if log.most > 1 {
			rt.Fatalf("%d appends in flight", log.most)
		}
	})
}

// Without group commit a burst of submissions would exceed the log's rate; an idle appender must not add delay.
func TestBurstSharesOneRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &stubLog{}
		a := New(Config{Log: log})
		go a.Run(t.Context())
		start := time.Now()
		_, err := a.Append(t.Context(), json.RawMessage(`0`))
		is.NoErr(err)
		is.Equal(time.Since(start), time.Duration(0))
		var wg sync.WaitGroup
		for i := range 100 {
			wg.Go(func() {
				_, err := a.Append(t.Context(), json.RawMessage(fmt.Sprint(i)))
				is.NoErr(err)
			})
		}
		wg.Wait()
		is.Equal(len(log.records), 2)
		is.Equal(time.Since(start), interval)
		is.NoErr(a.Drain(t.Context()))
	})
}

// Readers drop a repeated id unread, so that a repeat with other content would lose entries; once no append may have
// taken effect, the entries of callers who left must go.
func TestRepeatKeepsContent(t *testing.T) {
	for _, lost := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			log := &stubLog{script: []reaction{{Delay: time.Second, Keep: lost}, {Keep: true, Answer: true}}}
			if !lost {
				log.script[0] = reaction{Delay: time.Second, Answer: true} // refused
			}
			a := New(Config{Log: log})
			short, cancel := context.WithTimeout(t.Context(), time.Second/2)
			defer cancel()
			go a.Append(short, json.RawMessage(`1`))
			synctest.Wait()
			var wg sync.WaitGroup
			wg.Go(func() {
				r, err := a.Append(t.Context(), json.RawMessage(`2`))
				is.NoErr(err)
				is.True(lost == (r.Index == 1))
			})
			synctest.Wait()
			ctx, stop := context.WithCancel(t.Context())
			go a.Run(ctx)
			wg.Wait()
			seen, err := log.entries()
			is.NoErr(err)
			is.True(lost == (seen[1] == 1) && seen[2] == 1)
			stop()
			<-a.stopped
			_, err = a.Append(t.Context(), json.RawMessage(`3`)) // nobody would answer
			is.Equal(kind(err), model.KindDraining)
		})
	}
}

// Readers forget record ids after a while; a repeat after that would take effect twice.
func TestRepeatEndsBeforeReadersForget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &stubLog{script: make([]reaction, 1000)} // no answers
		a := New(Config{Log: log})
		ctx, stop := context.WithCancel(t.Context())
		go a.Run(ctx)
		_, err := a.Append(t.Context(), json.RawMessage(`1`))
		is.Equal(outcome(err), model.OutcomeUnknown)
		is.True(log.starts[len(log.starts)-1].Sub(log.starts[0]) <= maxRepeat)
		stop()
		<-a.stopped
	})
}

// While the log refuses, callers must hear that their entry was not run, so that they may go elsewhere.
func TestRefusedIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &stubLog{}
		for range 100 {
			log.script = append(log.script, reaction{Answer: true})
		}
		a := New(Config{Log: log})
		ctx, stop := context.WithCancel(t.Context())
		go a.Run(ctx)
		short, cancel := context.WithTimeout(t.Context(), 10*time.Second+time.Millisecond)
		defer cancel()
		_, err := a.Append(short, json.RawMessage(`1`))
		is.True(outcome(err) == model.OutcomeNotRun && kind(err) == model.KindLogUnavailable)
		is.True(len(log.starts) > 3)
		stop()
		<-a.stopped
	})
}

// A queue without bound would exhaust the memory of the host during a log outage.
func TestFullQueueRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := New(Config{Log: &stubLog{}, Queue: 1})
		go a.Append(t.Context(), json.RawMessage(`1`))
		synctest.Wait()
		_, err := a.Append(t.Context(), json.RawMessage(`2`))
		is.True(outcome(err) == model.OutcomeNotRun && kind(err) == model.KindOverloaded)
		_, err = a.Append(t.Context(), json.RawMessage(`{`))
		is.Equal(kind(err), model.KindInvalid) // it would spoil the record of the others
		go a.Run(t.Context())
		is.NoErr(a.Drain(t.Context()))
	})
}

// Entries that were taken before a shutdown must still reach the log, later ones must be refused.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &stubLog{script: []reaction{{Delay: time.Second}}} // no answer, no effect
		a := New(Config{Log: log})
		go a.Run(t.Context())
		for i := range 5 {
			go a.Append(t.Context(), json.RawMessage(fmt.Sprint(i)))
		}
		synctest.Wait()
		short, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		is.True(a.Drain(short) != nil)
		_, err := a.Append(t.Context(), json.RawMessage(`9`))
		is.True(outcome(err) == model.OutcomeNotRun && kind(err) == model.KindDraining)
		is.NoErr(a.Drain(t.Context()))
		seen, err := log.entries()
		is.NoErr(err)
		is.Equal(len(seen), 5)
	})
}
