package follower

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"chestnutmux.example/chestnutmux/internal/logclient"
	"chestnutmux.example/chestnutmux/pkg/model"
	"github.com/cockroachdb/errors"
)

// pollWait is the wait of a long poll. Records end it at once; it only bounds the traffic of an idle stream.
const pollWait = 20 * time.Second

// answerTimeout is how long an answer may take beyond the wait that was asked for.
const answerTimeout = 5 * time.Second

// The back-off after a failed read: short enough that a recovered log is noticed within the 4 s in which a
// configuration change has to be in force.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 3 * time.Second
)

// minEmpty bounds the rate of reads when the log service answers empty without waiting.
const minEmpty = 100 * time.Millisecond

// defaultMax is the number of records asked for in one read.
const defaultMax = 1000

// Reader reads a stream; *logclient.Client implements it.
type Reader interface {
	Read(ctx context.Context, s logclient.Stream, from model.Offset, limit int, wait time.Duration) (logclient.ReadReply, error)
	First(ctx context.Context, s logclient.Stream) (model.Offset, error)
}

// Fold is the state that the records are fed to; the folds of package reducer implement it.
type Fold interface {
	Next() model.Offset                     // first offset it still needs
	Apply(rec logclient.Record)             // drops records before Next
	Skip(first model.Offset, now time.Time) // the records before first are no longer kept
	Complete() bool                         // false when it needs a snapshot
}

// Config configures a Follower.
type Config struct {
	Log    Reader
	Stream logclient.Stream
	Fold   Fold
	Max    int          // most records per read, 0 means 1000
	Read   func(Status) // called on the follower's goroutine after each read and each Do, may be nil
}

// Status describes the progress of a follower.
type Status struct {
	Next             model.Offset // first offset that the fold has neither applied nor holds until it is complete
	End              model.Offset // offset that the next append gets, as of the latest read
	CaughtUp         bool         // the latest read reached the end and the fold is complete
	NeedsPeer        bool         // a peer must supply the state: no snapshot is left in the stream, or no read succeeded yet
	UnreachableSince time.Time    // zero while the log answers
	Err              error        // of the latest read
}

// Follower tails one stream; the fold is touched only by the goroutine that runs Run.
type Follower struct {
	cfg      Config
	calls    chan call
	done     chan struct{}
	answered bool // a read has succeeded; used by Run's goroutine only

	mu     sync.Mutex
	status Status
}

type call struct {
	fn  func()
	ran chan struct{}
}

type reply struct {
	logclient.ReadReply
	err error
}

// New returns a Follower that reads from the fold's next offset on while Run runs.
func New(cfg Config) *Follower {
	if cfg.Max <= 0 {
		cfg.Max = defaultMax
	}
	return &Follower{cfg: cfg, calls: make(chan call), done: make(chan struct{})}
}

// Status returns the progress; it is safe for concurrent use.
func (f *Follower) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.status
}

// Do runs fn on the follower's goroutine, where it may use the fold; it fails when ctx ends or Run has returned. It
// must not be called on that goroutine itself.
func (f *Follower) Do(ctx context.Context, fn func()) error {
	c := call{fn: fn, ran: make(chan struct{})}
	select {
	case f.calls <- c:
		<-c.ran
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "follower: the state did not answer in time")
	case <-f.done:
		return errors.New("follower: stopped")
	}
}

// Run follows the stream until ctx ends; it must be called once.
func (f *Follower) Run(ctx context.Context) {
	defer close(f.done)
	var reads sync.WaitGroup
	defer reads.Wait()
	replies := make(chan reply, 1)
	backoff := minBackoff
	for ctx.Err() == nil {
		started := time.Now()
		from := f.cfg.Fold.Next()
		// A read that waits would delay the news that the end is reached.
		wait := time.Duration(0)
		if s := f.Status(); f.answered && s.UnreachableSince.IsZero() && from >= s.End {
			wait = pollWait
		}
		reads.Go(func() { replies <- f.read(ctx, from, wait) })
		r, ok := await(ctx, f, replies)
		if !ok {
			return
		}
		var pause time.Duration
		switch {
		case r.err != nil:
			// Jitter keeps the hosts from returning at the same moment after an outage.
			pause = backoff/2 + rand.N(backoff/2+1)
			backoff = min(2*backoff, maxBackoff)
		case wait > 0 && len(r.Records) == 0:
			pause = time.Until(started.Add(minEmpty))
			backoff = minBackoff
		default:
			backoff = minBackoff
		}
		f.apply(r, from)
		if pause > 0 {
			await(ctx, f, time.After(pause))
		}
	}
}

// await serves calls until the channel delivers; it reports false when ctx ends.
func await[T any](ctx context.Context, f *Follower, delivery <-chan T) (T, bool) {
	for {
		select {
		case v := <-delivery:
			return v, true
		case c := <-f.calls:
			c.fn()
			f.update(func(*Status) {})
			close(c.ran)
		case <-ctx.Done():
			var zero T
			return zero, false
		}
	}
}

func (f *Follower) read(ctx context.Context, from model.Offset, wait time.Duration) reply {
	ctx, cancel := context.WithTimeout(ctx, wait+answerTimeout)
	defer cancel()
	r, err := f.cfg.Log.Read(ctx, f.cfg.Stream, from, f.cfg.Max, wait)
	if logclient.IsTrimmed(err) {
		if r.First <= from {
			r.First, err = f.cfg.Log.First(ctx, f.cfg.Stream)
		} else {
			err = nil
		}
		r.Records, r.Next = nil, max(r.Next, r.First)
	}
	return reply{r, err}
}

func (f *Follower) apply(r reply, from model.Offset) {
	if r.err != nil {
		f.update(func(s *Status) {
			if s.Err = r.err; s.UnreachableSince.IsZero() {
				s.UnreachableSince = time.Now()
			}
		})
		return
	}
	if r.First > from {
		f.cfg.Fold.Skip(r.First, time.Now())
	}
	for _, rec := range r.Records {
		f.cfg.Fold.Apply(rec)
	}
	f.answered = true
	f.update(func(s *Status) {
		s.End, s.UnreachableSince, s.Err = r.Next, time.Time{}, nil
	})
}

// update changes the status and derives its other fields from the fold.
func (f *Follower) update(change func(*Status)) {
	f.mu.Lock()
	s := &f.status
	change(s)
	s.Next = f.cfg.Fold.Next()
	reached := f.answered && s.Next >= s.End
	complete := f.cfg.Fold.Complete()
	s.CaughtUp = reached && complete
	s.NeedsPeer = reached && !complete || !f.answered && !s.UnreachableSince.IsZero()
	status := *s
	f.mu.Unlock()
	if f.cfg.Read != nil {
		f.cfg.Read(status)
	}
}
