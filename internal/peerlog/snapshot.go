package peerlog

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// maxSnapshotAge is the maximum age of a snapshot that a host serves to its neighbours. They read on from its end.
	maxSnapshotAge = 5 * time.Second
	// loadWait bounds how long a host waits for a host of its group that loads a snapshot, before it loads one itself.
	loadWait = 3 * time.Second
	// neighbourTimeout is the time until the response of a neighbour to a read of newest records begins.
	neighbourTimeout = 300 * time.Millisecond
	// maxNeighboursPerRead is the maximum number of neighbours that one read of newest records tries, and maxRelaysPerRead how many of
	// them may be relays. When a whole group restarts, its relays are loading and only the others have the records.
	maxNeighboursPerRead = 4
	maxRelaysPerRead     = 2
)

// snapshot holds the newest record of each key, as far as this host has read the log, to serve its neighbours when they start.
// While the host loads again, it serves what it had. The zero value is empty.
type snapshot struct {
	mu        sync.Mutex
	content   *snapshotContent // nil before the first load has ended, and after a gap
	load      *snapshotLoad    // nil while no load is under way
	hasLoaded bool             // a load has ended
}

type snapshotContent struct {
	newest      map[string]journaler.Record
	end         model.Offset // newest takes all records before end into account
	confirmedAt time.Time    // time at which end was the end of the log
}

// snapshotLoad is a load of all newest records, page by page.
type snapshotLoad struct {
	content   snapshotContent // of the pages added so far
	lastKey   string          // last key of these pages
	waitUntil time.Time       // until then, the load waits for a host of its group that loads
}

// startPage records that the page after a key is about to be read. It reports whether the page belongs to a load of all
// newest records, and until when the load may wait for other hosts. Only the first load of a process may wait.
func (s *snapshot) startPage(after string) (waitUntil time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after == "" {
		switch {
		case s.hasLoaded:
		case s.load != nil:
			waitUntil = s.load.waitUntil
		default:
			waitUntil = time.Now().Add(loadWait)
		}
		s.load = &snapshotLoad{waitUntil: waitUntil}
	}
	if s.load == nil || after != s.load.lastKey {
		return time.Time{}, false
	}
	return s.load.waitUntil, true
}

// addPage adds a page that was read after a key.
func (s *snapshot) addPage(after string, p journaler.Page) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.load
	if l == nil || after != l.lastKey {
		return
	}
	l.add(p)
	if !p.HasMore || len(p.Records) == 0 {
		s.content, s.load, s.hasLoaded = &l.content, nil, true
	}
}

func (l *snapshotLoad) add(p journaler.Page) {
	c := &l.content
	if c.newest == nil {
		*c = snapshotContent{newest: map[string]journaler.Record{}, end: p.EndOffset, confirmedAt: p.ConfirmedAt}
	}
	for _, r := range p.Records {
		c.newest[r.Key] = r
		l.lastKey = r.Key
	}
	c.end = min(c.end, p.EndOffset)
	if p.ConfirmedAt.Before(c.confirmedAt) {
		c.confirmedAt = p.ConfirmedAt
	}
}

// addRecords adds the result of a read that started at an offset. After a gap, the newest record of a key is no longer known.
func (s *snapshot) addRecords(from model.Offset, b journaler.Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.content
	if c == nil {
		return
	}
	if from > c.end {
		s.content = nil
		return
	}
	for _, r := range b.Records {
		if r.Offset < c.end {
			continue
		}
		c.newest[r.Key] = r
		if len(r.Value) == 0 {
			delete(c.newest, r.Key)
		}
		c.end = r.Offset + 1
	}
	if c.end >= b.EndOffset && b.ConfirmedAt.After(c.confirmedAt) {
		c.confirmedAt = b.ConfirmedAt
	}
}

// page returns the newest records of the keys after a key, as many as fit into one response.
func (s *snapshot) page(after string) (journaler.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.content
	switch {
	case c == nil && s.load != nil:
		return journaler.Page{}, errLoading
	case c == nil || time.Since(c.confirmedAt) > maxSnapshotAge:
		return journaler.Page{}, errLogNotReached
	}
	var records []journaler.Record
	for _, k := range slices.Sorted(maps.Keys(c.newest)) {
		if k > after {
			records = append(records, c.newest[k])
		}
	}
	p := journaler.Page{Records: limitBytes(records), EndOffset: c.end, ConfirmedAt: c.confirmedAt}
	p.HasMore = len(p.Records) < len(records)
	return p, nil
}

// errLoading reports that a host is loading a snapshot and will soon serve it.
var errLoading = errors.New("peerlog: the host is loading a snapshot; retry soon")

// readNewestNearby reads a page of newest records from a neighbour, so that it does not cross a link between regions. It returns
// errNoNeighbour if no neighbour serves it.
//
// While a host of the group in front of this one loads a snapshot, it returns errLoading until waitUntil. When all hosts of a failure
// domain start at once, one of each group loads from the log.
func (f *FallbackLog) readNewestNearby(ctx context.Context, after string, waitUntil time.Time) (journaler.Page, error) {
	relays := f.relays()
	err := errNoNeighbour
	for _, addr := range f.neighbours(relays) {
		p, readErr := f.readNewestOf(ctx, addr, after)
		if readErr == nil {
			f.setGoodNeighbour(addr)
			return p, nil
		}
		if slices.Contains(relays, addr) && errors.Is(readErr, errLoading) && time.Now().Before(waitUntil) {
			err = errLoading
		}
	}
	f.setGoodNeighbour("")
	return journaler.Page{}, err
}

// errNoNeighbour reports that no neighbour serves the newest records.
var errNoNeighbour = errors.New("peerlog: no neighbour has the newest records")

// relays returns the addresses of the hosts of the group in front of this one, or nil if this host reads the log itself.
func (f *FallbackLog) relays() []string {
	if f.Relays == nil || f.readsDirectly() {
		return nil
	}
	return f.Relays()
}

// neighbours returns the addresses of the hosts to ask for newest records, without those that have not responded: the one that has
// served the last page, then the first relays, then others in random order to spread the load.
func (f *FallbackLog) neighbours(relays []string) []string {
	if f.Neighbours == nil || f.readsDirectly() {
		return nil
	}
	f.mu.Lock()
	good := f.goodNeighbour
	f.mu.Unlock()
	relays = slices.DeleteFunc(slices.Clone(relays), f.Peers.inBackoff)
	relays = relays[:min(len(relays), maxRelaysPerRead)]
	others := slices.DeleteFunc(slices.Clone(f.Neighbours()), func(addr string) bool {
		return addr == good || slices.Contains(relays, addr) || f.Peers.inBackoff(addr)
	})
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	out := slices.Concat(relays, others)
	if good != "" {
		out = slices.Insert(slices.DeleteFunc(out, func(addr string) bool { return addr == good }), 0, good)
	}
	return out[:min(len(out), maxNeighboursPerRead)]
}

func (f *FallbackLog) setGoodNeighbour(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.goodNeighbour = addr
}

func (f *FallbackLog) readNewestOf(ctx context.Context, addr, after string) (journaler.Page, error) {
	ctx, cancel := limitTransfer(ctx, neighbourTimeout)
	defer cancel()
	start := time.Now()
	resp, err := f.Peers.callPeer(ctx, addr, methodNewest, newestParams{Log: f.Name, After: after, Tail: tailOnly})
	var p journaler.Page
	if err == nil {
		p, err = resp.page(start)
	}
	f.Metrics.countRead(f.Name, sourceNeighbourNewest, p.Records, time.Since(start), err)
	return p, err
}
