package claimer

import (
	"context"
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

type key struct {
	workspace model.WorkspaceID
	request   model.RequestID
}

// record is a request in progress or its kept result; refused, ref and result are set before done is closed.
type record struct {
	key     key
	expires time.Time
	done    chan struct{}
	refused bool // this host sent nothing, but another host may run the request
	ref     Ref  // of the refused claim, zero when the append was not confirmed
	result  Result
}

// wait returns the result, or false when ctx ends first.
func (r *record) wait(ctx context.Context) (Result, bool) {
	select {
	case <-r.done:
		return r.result, true
	default:
	}
	select {
	case <-r.done:
		return r.result, true
	case <-ctx.Done():
		return Result{}, false
	}
}

// recordBytes is the memory of a record besides its body: ids, map entry, channel, error texts.
const recordBytes = 512

func (r *record) size() model.Bytes { return model.Bytes(len(r.result.Body)) + recordBytes }

// store keeps the requests in progress and the newest results within its bounds. Losing a result is safe: a
// repeat of the id loses its claim and is told unknown.
type store struct {
	maxResults int
	maxBytes   model.Bytes
	records    map[key]*record
	finished   []*record // oldest first
	bytes      model.Bytes
}

// enter returns the record of the key and whether it is new; nil when too many are in progress.
func (s *store) enter(k key, now time.Time) (rec *record, first bool) {
	if rec := s.records[k]; rec != nil {
		return rec, false
	}
	s.prune(now, 1)
	if len(s.records) >= s.maxResults {
		return nil, false
	}
	if s.records == nil {
		s.records = map[key]*record{}
	}
	rec = &record{key: k, done: make(chan struct{})}
	s.records[k] = rec
	return rec, true
}

// finish releases the waiters and keeps the result if told so.
func (s *store) finish(rec *record, res Result, keep bool, now time.Time) {
	rec.result = res
	close(rec.done)
	if !keep {
		delete(s.records, rec.key)
		return
	}
	s.finished = append(s.finished, rec)
	s.bytes += rec.size()
	s.prune(now, 0)
}

// prune drops the oldest results until they are within the bounds with room for more, and expired ones.
func (s *store) prune(now time.Time, room int) {
	for len(s.finished) > 0 {
		old := s.finished[0]
		if now.Before(old.expires) && len(s.records)+room <= s.maxResults && s.bytes <= s.maxBytes {
			return
		}
		s.finished[0] = nil
		s.finished = s.finished[1:]
		s.bytes -= old.size()
		delete(s.records, old.key)
	}
}
