package standin

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	appendTime       = 4 * time.Millisecond // time until an append is answered
	maxWait          = 30 * time.Second     // longest wait of a read
	maxPageRecords   = 500                  // records in a page of newest records
	maxPageBytes     = 1 << 20
	rememberedCalls  = 5 // appends of a producer whose repeats get their first response
	recordLengthSize = 4
	maxRecordBytes   = 256 << 10
	maxCallBytes     = 2 << 20
)

// Store is the platform's store in the form "log".
type Store struct {
	record   *Record
	listener net.Listener
	server   *http.Server

	mu     sync.Mutex
	down   bool // refuses all calls
	topics map[string]*topic
}

type topic struct {
	first     int64 // offset of the first retained record
	records   [][]byte
	newest    map[string]storedRecord
	producers map[string]*producer
	changed   chan struct{}
}

type storedRecord struct {
	value  []byte
	offset int64
}

type producer struct {
	epoch, seq int64
	calls      []call
}

type call struct{ seq, offset, end int64 }

// NewStore starts a store at an address.
func NewStore(addr string, rec *Record) (*Store, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	s := &Store{record: rec, listener: l, topics: map[string]*topic{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /chestnutmux/log-append", s.serveAppend)
	mux.HandleFunc("GET /chestnutmux/log-read", s.serveRead)
	mux.HandleFunc("GET /chestnutmux/log-newest", s.serveNewest)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isDown() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// Addr returns the address of the store.
func (s *Store) Addr() string { return s.listener.Addr().String() }

// Close stops the store.
func (s *Store) Close() { _ = s.server.Close() }

func (s *Store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// SetDown makes the store refuse all calls, or ends that.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	s.down = down
	s.mu.Unlock()
	s.record.Printf("the store is down: %v", down)
}

// Put writes a record with a key, as the operator and the runners do; an empty value deletes the key.
func (s *Store) Put(name, key string, value []byte) {
	rec := append(append([]byte{byte(len(key))}, key...), value...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).add([][]byte{rec})
}

// topic returns a topic and creates it on first use. The caller holds s.mu.
func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]storedRecord{}, producers: map[string]*producer{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func (t *topic) end() int64 { return t.first + int64(len(t.records)) }

func (t *topic) add(records [][]byte) {
	for _, r := range records {
		key, value, ok := splitRecord(r)
		if ok && len(value) == 0 {
			delete(t.newest, key)
		} else if ok {
			t.newest[key] = storedRecord{value: value, offset: t.end()}
		}
		t.records = append(t.records, r)
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

func splitRecord(r []byte) (key string, value []byte, ok bool) {
	if len(r) == 0 || 1+int(r[0]) > len(r) {
		return "", nil, false
	}
	return string(r[1 : 1+int(r[0])]), r[1+int(r[0]):], true
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(appendTime)
	if len(body) > maxCallBytes {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	q := r.URL.Query()
	name := q.Get("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		writeJSON(w, http.StatusForbidden, struct{}{})
		return
	}
	var records [][]byte
	for len(body) >= recordLengthSize {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-recordLengthSize || n > maxRecordBytes {
			writeJSON(w, http.StatusBadRequest, struct{}{})
			return
		}
		records = append(records, body[recordLengthSize:recordLengthSize+n])
		body = body[recordLengthSize+n:]
	}
	s.mu.Lock()
	status, resp := s.topic(name).append(records, q.Get("at"), q.Get("producer"), number(q.Get("epoch")), number(q.Get("seq")))
	s.mu.Unlock()
	writeJSON(w, status, resp)
}

func number(s string) int64 {
	n, _ := strconv.ParseInt(s, 10, 64)
	return n
}

// append applies the conditions of an append and appends the records.
func (t *topic) append(records [][]byte, at, producerName string, epoch, seq int64) (int, map[string]any) {
	var p *producer
	if producerName != "" {
		p = t.producers[producerName]
		if p == nil {
			p = &producer{}
			t.producers[producerName] = p
		}
		if epoch < p.epoch {
			return http.StatusConflict, map[string]any{"reason": "fenced"}
		}
		if i := slices.IndexFunc(p.calls, func(c call) bool { return epoch == p.epoch && c.seq == seq }); i >= 0 {
			return http.StatusOK, map[string]any{"offset": p.calls[i].offset, "end": p.calls[i].end}
		}
		if epoch == p.epoch && len(p.calls) > 0 && seq != p.seq+1 {
			return http.StatusConflict, map[string]any{"reason": "seq", "seq": p.seq + 1}
		}
	}
	if at != "" && number(at) != t.end() {
		return http.StatusPreconditionFailed, map[string]any{"end": t.end()}
	}
	offset := t.end()
	t.add(records)
	if p != nil {
		if epoch > p.epoch {
			p.epoch, p.calls = epoch, nil
		}
		p.seq = seq
		p.calls = append(p.calls, call{seq: seq, offset: offset, end: t.end()})
		p.calls = p.calls[max(0, len(p.calls)-rememberedCalls):]
	}
	return http.StatusOK, map[string]any{"offset": offset, "end": t.end()}
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, maxBytes := number(q.Get("from")), 1024<<10
	if kb := number(q.Get("max_kb")); kb > 0 {
		maxBytes = int(kb) << 10
	}
	deadline := time.Now().Add(min(time.Duration(number(q.Get("wait_ms")))*time.Millisecond, maxWait))
	for {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		first, end, changed := t.first, t.end(), t.changed
		var records [][]byte
		if from >= first && from < end {
			records = t.records[from-first:]
		}
		s.mu.Unlock()
		if from < first {
			writeJSON(w, http.StatusGone, map[string]any{"first": first})
			return
		}
		if wait := time.Until(deadline); len(records) == 0 && wait > 0 {
			timer := time.NewTimer(wait)
			select {
			case <-changed:
			case <-timer.C:
			case <-r.Context().Done():
				return
			}
			timer.Stop()
			if s.isDown() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			continue
		}
		out := binary.BigEndian.AppendUint64(nil, uint64(end))
		out = binary.BigEndian.AppendUint64(out, uint64(first))
		for i, rec := range records {
			if i > 0 && len(out)+len(rec) > maxBytes {
				break
			}
			out = append(binary.BigEndian.AppendUint32(out, uint32(len(rec))), rec...)
		}
		_, _ = w.Write(out)
		return
	}
}

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
	var keys []string
	for k := range t.newest {
		if k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, strings.Compare)
	items, size, more := []map[string]any{}, 0, false
	for i, k := range keys {
		v := t.newest[k]
		if size += len(v.value); i == maxPageRecords || i > 0 && size > maxPageBytes {
			more = true
			break
		}
		items = append(items, map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString(v.value), "offset": v.offset})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end": t.end()})
}
