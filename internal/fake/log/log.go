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
	defaultRetention        = time.Hour
	defaultAppendsPerSecond = 400         // the platform's log accepts several hundred appends per second
	maxReadRecords          = 1000        // records returned by one read
	maxReadWait             = time.Minute // limit of the wait of a long-polling read
)

// Options sets the limits and the clock of a log; zero fields take the defaults.
type Options struct {
	Retention        time.Duration // age at which a record that is not the newest of its key expires
	AppendsPerSecond int           // rate limit over all streams; also the size of a burst
	Now              func() time.Time
}

// Log is an in-memory log service.
type Log struct {
	fault.Injector
	opts    Options
	limiter *rate.Limiter

	mu             sync.Mutex
	streams        map[string]*stream
	appends        int64
	refusedAppends int64 // appends refused by the rate limit or the fault refuse
	reads          int64
}

// New returns an empty log.
func New(opts Options) *Log {
	if opts.Retention == 0 {
		opts.Retention = defaultRetention
	}
	if opts.AppendsPerSecond == 0 {
		opts.AppendsPerSecond = defaultAppendsPerSecond
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

// Records returns the records that a stream retains, for checks in tests.
func (l *Log) Records(name string) []journaler.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []journaler.Record
	for _, e := range l.stream(name).records {
		out = append(out, e.record)
	}
	return out
}

// Expire trims all records of a stream, as if their retention had ended; ReadNewest still returns the newest of each key.
func (l *Log) Expire(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	s.firstOffset = s.endOffset()
	s.records = nil
}

func (l *Log) stats() map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return map[string]int64{"appends": l.appends, "rate-limited": l.refusedAppends, "reads": l.reads}
}

// stream returns the named stream without its expired records and creates it if needed; the caller holds the lock.
func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{}
		l.streams[name] = s
	}
	s.trim(l.opts.Now(), l.opts.Retention)
	return s
}

// Append appends records to a stream; it returns a typed error of package journaler if the condition does not hold, and
// ErrNotAppended if the rate limit or the fault refuse prevents the append.
func (l *Log) Append(name string, records []journaler.Record, cond journaler.AppendCondition) (model.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Now()
	if l.Faults().Refuse || !l.limiter.AllowN(now, 1) {
		l.refusedAppends++
		return 0, journaler.ErrNotAppended
	}
	l.appends++
	return l.stream(name).append(now, records, cond)
}

// Read returns the records from an offset on; if there are none, it waits at most the given time for the next append.
func (l *Log) Read(ctx context.Context, name string, from model.Offset, wait time.Duration) (journaler.Batch, error) {
	timer := time.NewTimer(min(wait, maxReadWait))
	defer timer.Stop()
	for {
		l.mu.Lock()
		l.reads++
		s := l.stream(name)
		b, err := s.read(from, maxReadRecords)
		appended := s.nextAppend()
		l.mu.Unlock()
		if err != nil || len(b.Records) > 0 || wait == 0 {
			return b, err
		}
		select {
		case <-appended:
		case <-timer.C:
			wait = 0
		case <-ctx.Done():
			return b, ctx.Err()
		}
	}
}

// ReadNewest returns a page of the newest records of the keys after the given one, in the order of the keys.
func (l *Log) ReadNewest(name, after string) journaler.Page {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	return l.stream(name).newestPage(after)
}
