package main

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"sync"
	"time"
)

const (
	answerTime    = 4 * time.Millisecond // time of an answer of the store
	maxItems      = 500                  // items of a page of newest records
	repeatsKept   = 5                    // appends of a producer whose repeats get their first response
	maxReadWait   = 30 * time.Second
	headerBytes   = 16
	lengthBytes   = 4
	maxReadRecord = 1024 << 10 // bytes of the records of one response
)

// store is a stand-in of the platform's log store. It keeps all records for the whole case.
type store struct {
	record *record

	mu        sync.Mutex
	topics    map[string]*topic
	lastOwner string // host that last appended under a condition
	changed   chan struct{}
}

// topic is one partition of keyed records; the project uses one a topic.
type topic struct {
	records   [][]byte // content of each record: length of the key, key, value
	producers map[string]*producer
}

// producer is what the store knows of the appends of one producer.
type producer struct {
	epoch, seq int64
	started    bool // an append of this epoch was carried out
	repeats    []repeat
}

// repeat is the first response to an append.
type repeat struct{ seq, offset, end int64 }

func newStore(r *record) *store {
	return &store{record: r, topics: map[string]*topic{}, changed: make(chan struct{})}
}

// listen serves the store at an address of its own for each host, which tells whose call it is.
func (s *store) listen(addr, host string) (io.Closer, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /chestnutmux/log-append", func(w http.ResponseWriter, r *http.Request) { s.append(w, r, host) })
	mux.HandleFunc("GET /chestnutmux/log-read", s.read)
	mux.HandleFunc("GET /chestnutmux/log-newest", s.newest)
	srv := &http.Server{Handler: mux}
	go func() { _ = srv.Serve(l) }()
	return srv, nil
}

// topic returns a topic and creates it on first use. The caller holds s.mu.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{producers: map[string]*producer{}}
		s.topics[name] = t
	}
	return t
}

// put writes a record on behalf of the operator or of a runner; a nil value drops the key.
func (s *store) put(topicName, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topicName)
	t.records = append(t.records, append(append([]byte{byte(len(key))}, key...), value...))
	s.wake()
}

// wake ends the waiting reads. The caller holds s.mu.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// leader returns the host that last appended under a condition or with an epoch.
func (s *store) leader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastOwner
}

func (s *store) append(w http.ResponseWriter, r *http.Request, host string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(answerTime)
	var records [][]byte
	for len(body) > 0 {
		if len(body) < lengthBytes {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		n := int(binary.BigEndian.Uint32(body))
		if body = body[lengthBytes:]; n > len(body) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records = append(records, body[:n])
		body = body[n:]
	}
	status, answer := s.appendRecords(r.URL.Query(), records, host)
	writeJSON(w, status, answer)
}

// appendRecords carries out an append whose conditions hold.
func (s *store) appendRecords(q url.Values, records [][]byte, host string) (int, map[string]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
	end := int64(len(t.records))
	var p *producer
	seq, _ := strconv.ParseInt(q.Get("seq"), 10, 64)
	if name := q.Get("producer"); name != "" {
		epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
		if p = t.producers[name]; p == nil {
			p = &producer{epoch: epoch}
			t.producers[name] = p
		}
		if epoch < p.epoch {
			return http.StatusConflict, map[string]any{"reason": "fenced"}
		}
		if epoch == p.epoch {
			for _, old := range p.repeats {
				if old.seq == seq {
					return http.StatusOK, map[string]any{"offset": old.offset, "end": old.end}
				}
			}
			if p.started && seq != p.seq+1 {
				return http.StatusConflict, map[string]any{"reason": "seq", "seq": p.seq + 1}
			}
		}
		if at := q.Get("at"); at != "" && at != strconv.FormatInt(end, 10) {
			return http.StatusPreconditionFailed, map[string]any{"end": end}
		}
		if epoch > p.epoch {
			*p = producer{epoch: epoch}
		}
	} else if at := q.Get("at"); at != "" && at != strconv.FormatInt(end, 10) {
		return http.StatusPreconditionFailed, map[string]any{"end": end}
	}
	t.records = append(t.records, records...)
	answer := map[string]any{"offset": end, "end": int64(len(t.records))}
	if p != nil {
		p.started, p.seq = true, seq
		p.repeats = append(p.repeats, repeat{seq: seq, offset: end, end: int64(len(t.records))})
		p.repeats = p.repeats[max(0, len(p.repeats)-repeatsKept):]
		if s.lastOwner != host {
			s.record.printf("store: %s writes with epoch %d", host, p.epoch)
		}
		s.lastOwner = host
	}
	s.wake()
	return http.StatusOK, answer
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	waitMS, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	timeout := time.After(min(time.Duration(waitMS)*time.Millisecond, maxReadWait))
	time.Sleep(answerTime)
	for {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		end, changed := int64(len(t.records)), s.changed
		if from < end || waitMS == 0 {
			var out bytes.Buffer
			header := make([]byte, headerBytes)
			binary.BigEndian.PutUint64(header, uint64(end))
			out.Write(header)
			for i := from; i < end && out.Len() < maxReadRecord; i++ {
				_ = binary.Write(&out, binary.BigEndian, uint32(len(t.records[i])))
				out.Write(t.records[i])
			}
			s.mu.Unlock()
			_, _ = w.Write(out.Bytes())
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waitMS = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	time.Sleep(answerTime)
	s.mu.Lock()
	t := s.topic(q.Get("topic"))
	newest := map[string]int{}
	for i, rec := range t.records {
		newest[string(rec[1:1+int(rec[0])])] = i
	}
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	items := []item{}
	for key, i := range newest {
		value := t.records[i][1+len(key):]
		if key > q.Get("after") && len(value) > 0 {
			items = append(items, item{key, base64.StdEncoding.EncodeToString(value), i})
		}
	}
	end := len(t.records)
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	n := min(len(items), maxItems)
	writeJSON(w, http.StatusOK, map[string]any{"items": items[:n], "has_more": n < len(items), "end": end})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller may have gone
}
