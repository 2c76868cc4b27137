package follower

import (
	"context"
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
	_ = flag.Set("rapid.checks", "100")
}

// stubLog is a stream with offsets from first to next, both set by the test.
type stubLog struct {
	mu          sync.Mutex
	first, next model.Offset
	down        bool
	silent      bool // a 410 carries no bounds
	reads       int
}

func (l *stubLog) set(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

func (l *stubLog) count() (reads int) {
	l.set(func() { reads = l.reads })
	return reads
}

func (l *stubLog) try(from model.Offset, limit int) (logclient.ReadReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	reply := logclient.ReadReply{First: l.first, Next: l.next}
	switch {
	case l.down:
		return logclient.ReadReply{}, errors.New("down")
	case from < l.first && l.silent:
		return logclient.ReadReply{}, &model.Error{Kind: model.KindTrimmed}
	case from < l.first:
		return reply, &model.Error{Kind: model.KindTrimmed}
	}
	for o := from; o < l.next && len(reply.Records) < limit; o++ {
		reply.Records = append(reply.Records, logclient.Record{Offset: o})
	}
	return reply, nil
}

func (l *stubLog) Read(ctx context.Context, _ logclient.Stream, from model.Offset, limit int, wait time.Duration) (logclient.ReadReply, error) {
	l.set(func() { l.reads++ })
	for end := time.Now().Add(wait); ; time.Sleep(10 * time.Millisecond) {
		reply, err := l.try(from, limit)
		if err != nil || len(reply.Records) > 0 || !time.Now().Before(end) {
			return reply, err
		}
		if ctx.Err() != nil {
			return reply, ctx.Err()
		}
	}
}

func (l *stubLog) First(context.Context, logclient.Stream) (model.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, errors.New("down")
	}
	return l.first, nil
}

// stubFold checks the order of what it is given.
type stubFold struct {
	next    model.Offset
	gap     bool
	skipped []model.Offset
	faults  []string
}

func (f *stubFold) Next() model.Offset { return f.next }
func (f *stubFold) Complete() bool     { return !f.gap }

func (f *stubFold) Apply(rec logclient.Record) {
	if rec.Offset != f.next {
		f.faults = append(f.faults, fmt.Sprintf("record %d instead of %d", rec.Offset, f.next))
	}
	f.next = rec.Offset + 1
}

func (f *stubFold) Skip(first model.Offset, _ time.Time) {
	if first <= f.next {
		f.faults = append(f.faults, fmt.Sprintf("skip from %d back to %d", f.next, first))
	}
	f.next, f.gap = first, true
	f.skipped = append(f.skipped, first)
}

type step struct {
	After        time.Duration
	Append, Trim int
	Down, Silent bool
}

// Outages and trimming at any time must not make a host miss, repeat or reorder a record that is still kept, nor
// leave it believing that it is caught up when it is not.
func TestFollowsOverOutagesAndTrimming(t *testing.T) {
	steps := rapid.Custom(func(t *rapid.T) step {
		return step{
			time.Duration(rapid.IntRange(0, 9000).Draw(t, "ms")) * time.Millisecond,
			rapid.IntRange(0, 7).Draw(t, "append"), rapid.IntRange(0, 7).Draw(t, "trim"),
			rapid.Bool().Draw(t, "down"), rapid.Bool().Draw(t, "silent"),
		}
	})
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(steps, 1, 12).Draw(rt, "steps")
		fold := &stubFold{}
		log := &stubLog{}
		var before, after Status
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			f := New(Config{Log: log, Fold: fold, Max: 3})
			go f.Run(ctx)
			for _, s := range script {
				time.Sleep(s.After)
				log.set(func() {
					log.next += model.Offset(s.Append)
					log.first = min(log.first+model.Offset(s.Trim), log.next)
					log.down, log.silent = s.Down, s.Silent
				})
			}
			time.Sleep(pollWait + maxBackoff)
			before = f.Status()
			log.set(func() { log.down = false; log.next++ })
			time.Sleep(pollWait + maxBackoff)
			after = f.Status()
			cancel()
			<-f.done
		})
		last := script[len(script)-1]
		if len(fold.faults) > 0 || after.Next != log.next || after.CaughtUp == fold.gap || after.NeedsPeer != fold.gap {
			rt.Fatalf("faults %v, status %+v, log ends at %d", fold.faults, after, log.next)
		}
		if before.UnreachableSince.IsZero() == last.Down || !after.UnreachableSince.IsZero() {
			rt.Fatalf("log down: %v, status %+v and then %+v", last.Down, before, after)
		}
	})
}

// A host that starts while the log is down must ask a peer, serve its state meanwhile, and not flood the log.
func TestStartDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &stubLog{down: true, next: 10}
		fold := &stubFold{}
		f := New(Config{Log: log, Fold: fold})
		ctx, cancel := context.WithCancel(t.Context())
		start := time.Now()
		go f.Run(ctx)
		time.Sleep(time.Minute)
		s := f.Status()
		is.True(s.NeedsPeer && !s.CaughtUp)
		is.Equal(s.UnreachableSince, start)
		is.True(log.count() < 60)                             // at most 2 a second after the first seconds
		is.NoErr(f.Do(t.Context(), func() { fold.next = 8 })) // a peer supplied the state
		log.set(func() { log.down = false })
		time.Sleep(maxBackoff)
		is.True(f.Status().CaughtUp)
		is.Equal(len(fold.faults), 0)
		reads := log.count()
		time.Sleep(time.Minute)
		is.True(log.count() <= reads+4) // an idle stream costs one read per long poll
		cancel()
		<-f.done
		is.True(f.Do(t.Context(), func() {}) != nil)
	})
}
