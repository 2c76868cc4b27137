package log

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"chestnutmux.example/chestnutmux/internal/fake/fault"
	"chestnutmux.example/chestnutmux/internal/logclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	defaultRetention  = time.Hour
	defaultMaxRecords = 1 << 20
	defaultRate       = 400 // appends a second; the platform accepts several hundred
	defaultMaxRead    = 1000
	maxWait           = time.Minute
)

// Options sets the limits of a log; zero fields take the defaults.
type Options struct {
	Retention        time.Duration // age at which a record expires
	MaxRecords       int           // most records kept per stream
	AppendsPerSecond int           // over all streams, also the burst
	Now              func() time.Time
}

// Log is the log service.
type Log struct {
	fault.Switch
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
	if opts.MaxRecords == 0 {
		opts.MaxRecords = defaultMaxRecords
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

// Handler serves the log's interface and its fault switches.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{s}/records", l.append)
	mux.HandleFunc("GET /v1/streams/{s}/records", l.read)
	return l.Wrap(mux, l.stats)
}

// Records returns the records that a stream keeps, for checks by tests.
func (l *Log) Records(name string) []logclient.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	return s.records[:len(s.records):len(s.records)]
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
	s.trim(l.opts.Now(), l.opts.Retention, l.opts.MaxRecords)
	return s
}

func (l *Log) append(w http.ResponseWriter, r *http.Request) {
	var req logclient.AppendRequest
	if !fault.ReadJSON(w, r, &req) {
		return
	}
	if req.ID == "" || len(req.Data) == 0 {
		fault.Error(w, http.StatusBadRequest, model.KindInvalid, "id and data are required")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Now()
	if l.Get().Refuse || !l.limiter.AllowN(now, 1) {
		l.limited++
		w.Header().Set("Retry-After", "1")
		fault.Error(w, http.StatusTooManyRequests, model.KindOverloaded, "the rate limit of appends is reached")
		return
	}
	l.appends++
	off := l.stream(r.PathValue("s")).append(now, req)
	fault.WriteJSON(w, http.StatusOK, logclient.AppendReply{Offset: off})
}

func (l *Log) read(w http.ResponseWriter, r *http.Request) {
	from, ok1 := number(r, "from", 0)
	count, ok2 := number(r, "max", defaultMaxRead)
	waitMS, ok3 := number(r, "wait-ms", 0)
	if !ok1 || !ok2 || !ok3 || count == 0 {
		fault.Error(w, http.StatusBadRequest, model.KindInvalid, "from, max and wait-ms must be numbers, max at least 1")
		return
	}
	timeout := time.After(min(time.Duration(waitMS)*time.Millisecond, maxWait))
	for {
		reply, changed := l.get(r.PathValue("s"), model.Offset(from), int(count))
		switch {
		case model.Offset(from) < reply.First:
			fault.WriteJSON(w, http.StatusGone, reply)
			return
		case len(reply.Records) > 0 || waitMS == 0:
			fault.WriteJSON(w, http.StatusOK, reply)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waitMS = 0
		case <-r.Context().Done():
			return
		}
	}
}

// get reads once; Records is empty, not null, also when from is trimmed.
func (l *Log) get(name string, from model.Offset, count int) (logclient.ReadReply, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readings++
	s := l.stream(name)
	reply := logclient.ReadReply{First: s.first, Next: s.next(), Records: []logclient.Record{}}
	if from >= s.first {
		reply.Records = append(reply.Records, s.read(from, count)...)
	}
	return reply, s.wait()
}

// number parses a query parameter that is not negative and small enough for a duration in milliseconds.
func number(r *http.Request, name string, absent int64) (int64, bool) {
	v := r.URL.Query().Get(name)
	if v == "" {
		return absent, true
	}
	n, err := strconv.ParseInt(v, 10, 64)
	return n, err == nil && n >= 0 && n < 1<<42
}
