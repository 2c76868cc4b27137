package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store as the pages give them.
const (
	storeAppendTime   = 2 * time.Millisecond // append_ms
	storeRecordBytes  = 262144               // record_bytes
	storeCallBytes    = 2097152              // call_bytes
	storePageRecords  = 500                  // records of one page of log-newest
	storePageBytes    = 1 << 20              // bytes of one page of log-newest
	storeKeptAppends  = 5                    // appends of a producer that may be repeated
	storeMaxReadWait  = 30 * time.Second     // longest wait_ms of log-read
	storeDefaultMaxKB = 1024                 // default of max_kb
)

// record is a record of a keyed topic.
type record struct {
	raw    []byte // key length, key and value, as the log-read call returns it
	key    string
	value  []byte
	offset int64
}

// producer is what the store remembers of a producer.
type producer struct {
	epoch, seq int64 // seq of the last append
	hasSeq     bool
	kept       []keptAppend
}

type keptAppend struct{ seq, offset, end int64 }

// topic is partition 0 of a keyed topic.
type topic struct {
	records   []record
	newest    map[string]record
	producers map[string]*producer
	changed   chan struct{} // closed and replaced after each append
	appending sync.Mutex    // a partition processes its appends one at a time
}

// store is a stand-in of the platform's metadata store, as far as the system uses it.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
	l      net.Listener

	// slowAppend, if not nil, returns an extra time that an append to a topic takes.
	slowAppend func(topic string) time.Duration
}

// newStore starts a store at an IP address.
func newStore(ip string) (*store, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{topics: map[string]*topic{}, l: l}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

func (s *store) addr() string { return s.l.Addr().String() }

// topic returns a topic, which is created on first use. The caller holds s.mu.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]record{}, producers: map[string]*producer{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put appends a record for the operator or a server. Without a value, the key is dropped.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	raw := append([]byte{byte(len(key))}, key...)
	s.topic(name).append([]record{parseRecord(append(raw, value...))})
}

func parseRecord(raw []byte) record {
	n := 1 + int(raw[0])
	return record{raw: raw, key: string(raw[1:n]), value: raw[n:]}
}

// append appends records and returns the offset of the first one. The caller holds the lock of the store.
func (t *topic) append(records []record) int64 {
	first := int64(len(t.records))
	for _, r := range records {
		r.offset = int64(len(t.records))
		t.records = append(t.records, r)
		if len(r.value) == 0 {
			delete(t.newest, r.key)
		} else {
			t.newest[r.key] = r
		}
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return first
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if q.Get("part") != "0" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch r.Method + " " + strings.TrimPrefix(r.URL.Path, "/chestnutmux/") {
	case "POST log-append":
		s.serveAppend(w, r)
	case "GET log-read":
		s.serveRead(w, r)
	case "GET log-newest":
		s.serveNewest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// serveAppend serves log-append.
func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	name := q.Get("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records []record
	total := 0
	for rest := body; len(rest) > 0; {
		if len(rest) < 4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		n := int(binary.BigEndian.Uint32(rest))
		if n < 1 || n > len(rest)-4 || n > storeRecordBytes || 1+int(rest[4]) > n {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records = append(records, parseRecord(rest[4:4+n]))
		total += n
		rest = rest[4+n:]
	}
	if total > storeCallBytes {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	t := s.topic(name)
	slow := s.slowAppend
	s.mu.Unlock()
	t.appending.Lock()
	defer t.appending.Unlock()
	time.Sleep(storeAppendTime)
	if slow != nil {
		time.Sleep(slow(name))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	end := int64(len(t.records))
	var p *producer
	var epoch, seq int64
	if q.Has("producer") {
		epoch, _ = strconv.ParseInt(q.Get("epoch"), 10, 64)
		seq, _ = strconv.ParseInt(q.Get("seq"), 10, 64)
		p = t.producers[q.Get("producer")]
		if p == nil {
			p = &producer{epoch: epoch}
			t.producers[q.Get("producer")] = p
		}
		if epoch < p.epoch {
			reply(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		}
		if epoch == p.epoch {
			for _, k := range p.kept {
				if k.seq == seq {
					reply(w, http.StatusOK, map[string]any{"offset": k.offset, "end": k.end})
					return
				}
			}
		}
	}
	if at := q.Get("at"); at != "" && at != strconv.FormatInt(end, 10) {
		reply(w, http.StatusPreconditionFailed, map[string]any{"end": end})
		return
	}
	if p != nil {
		if epoch > p.epoch {
			*p = producer{epoch: epoch}
		}
		if p.hasSeq && seq != p.seq+1 {
			reply(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": p.seq + 1})
			return
		}
	}
	first := t.append(records)
	end = int64(len(t.records))
	if p != nil && len(records) > 0 {
		p.seq, p.hasSeq = seq, true
		p.kept = append(p.kept, keptAppend{seq, first, end})
		if len(p.kept) > storeKeptAppends {
			p.kept = p.kept[1:]
		}
	}
	reply(w, http.StatusOK, map[string]any{"offset": first, "end": end})
}

// serveRead serves log-read.
func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	maxKB, err := strconv.Atoi(q.Get("max_kb"))
	if err != nil {
		maxKB = storeDefaultMaxKB
	}
	waitMS, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(min(time.Duration(waitMS)*time.Millisecond, storeMaxReadWait))
	defer timer.Stop()
	for waiting := true; waiting; {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		changed, hasRecord := t.changed, from < int64(len(t.records))
		s.mu.Unlock()
		if hasRecord {
			break
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	s.mu.Lock()
	t := s.topic(q.Get("topic"))
	out := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for i, n := from, 0; i >= 0 && i < int64(len(t.records)); i++ {
		raw := t.records[i].raw
		if n += len(raw); n > maxKB<<10 && i > from {
			break
		}
		out = binary.BigEndian.AppendUint32(out, uint32(len(raw)))
		out = append(out, raw...)
	}
	s.mu.Unlock()
	_, _ = w.Write(out)
}

// serveNewest serves log-newest.
func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after := q.Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
	var keys []string
	for k := range t.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items := []map[string]any{}
	size := 0
	more := false
	for _, k := range keys {
		rec := t.newest[k]
		if size += len(rec.raw); len(items) == storePageRecords || size > storePageBytes && len(items) > 0 {
			more = true
			break
		}
		items = append(items, map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString(rec.value), "offset": rec.offset})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end": len(t.records)})
}
