package log

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"chestnutmux.example/chestnutmux/internal/fake/fault"
	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	defaultRetention = time.Hour
	defaultRate      = 400 // appends a second; the platform accepts several hundred
	maxRead          = 1000
	maxWait          = time.Minute
)

// Options sets the limits of a log; zero fields take the defaults.
type Options struct {
	Retention        time.Duration // age at which a record that is not the newest of its key expires
	AppendsPerSecond int           // over all streams, also the burst
	Now              func() time.Time
}

// Log is the log service.
type Log struct {
	fault.Injector
	opts    Options
	limiter *rate.Limiter

	mu       sync.Mutex
	streams  map[string]*stream
	appends  int64
	limited  int64
	readings int64
}

// New returns an empty log.
func New(opts Options) *Log {
	if opts.Retention == 0 {
		opts.Retention = defaultRetention
	}
	if opts.AppendsPerSecond == 0 {
		opts.AppendsPerSecond = defaultRate
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	return &Log{
		opts:    opts,
		limiter: rate.NewLimiter(rate.Limit(opts.AppendsPerSecond), opts.AppendsPerSecond),
		streams: map[string]*stream{},
	}
}

// Records returns the records that a stream keeps, for checks by tests.
func (l *Log) Records(name string) []journaler.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []journaler.Record
	for _, e := range l.stream(name).records {
		out = append(out, e.record)
	}
	return out
}

// Expire deletes all records but the newest of each key, as the end of their retention does.
func (l *Log) Expire(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	s.first = s.end()
	s.records = nil
}

func (l *Log) stats() map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return map[string]int64{"appends": l.appends, "rate-limited": l.limited, "reads": l.readings}
}

// stream returns the named stream, trimmed; the caller holds the lock.
func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{}
		l.streams[name] = s
	}
	s.trim(l.opts.Now(), l.opts.Retention)
	return s
}

// Append adds records to a stream; it returns the typed errors of package journaler.
func (l *Log) Append(name string, records []journaler.Record, c journaler.AppendCondition) (model.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Now()
	if l.Faults().Refuse || !l.limiter.AllowN(now, 1) {
		l.limited++
		return 0, journaler.ErrNotAppended
	}
	l.appends++
	return l.stream(name).append(now, records, c)
}

// Read returns the records from an offset and waits for the first one.
func (l *Log) Read(ctx context.Context, name string, from model.Offset, wait time.Duration) (journaler.Batch, error) {
	timeout := time.NewTimer(min(wait, maxWait))
	defer timeout.Stop()
	for {
		l.mu.Lock()
		l.readings++
		s := l.stream(name)
		b, err := s.read(from, maxRead)
		changed := s.wait()
		l.mu.Unlock()
		if err != nil || len(b.Records) > 0 || wait == 0 {
			return b, err
		}
		select {
		case <-changed:
		case <-timeout.C:
			wait = 0
		case <-ctx.Done():
			return b, ctx.Err()
		}
	}
}

// ReadNewest returns a page of the newest record of each key.
func (l *Log) ReadNewest(name, after string) journaler.Page {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readings++
	return l.stream(name).page(after)
}
