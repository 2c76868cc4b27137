package claimer

import (
	"context"
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

type requestKey struct {
	workspace model.WorkspaceID
	request   model.RequestID
}

// resultEntry is a request in progress or its stored result. The fields isRefused, claimID and result are valid once done is
// closed.
type resultEntry struct {
	key       requestKey
	expiresAt time.Time     // time after which the result is dropped
	done      chan struct{} // closed when the call has ended
	isRefused bool          // this host did not send the request, but another host may run it
	claimID   ClaimID       // claim of the refused call, zero if its append was not confirmed
	result    Result
}

// wait waits for the result and returns false if ctx ends first. A result that is available is returned even if ctx has ended.
func (e *resultEntry) wait(ctx context.Context) (Result, bool) {
	select {
	case <-e.done:
		return e.result, true
	default:
	}
	select {
	case <-e.done:
		return e.result, true
	case <-ctx.Done():
		return Result{}, false
	}
}

// entryOverheadBytes is the estimated memory of an entry besides its body: ids, map entry, channel and error texts.
const entryOverheadBytes = 512

func (e *resultEntry) size() model.Bytes { return model.Bytes(len(e.result.Body)) + entryOverheadBytes }

// resultStore stores the requests in progress and, within its limits, the newest results. Dropping a result is safe, because
// a retry of the request loses its claim and gets the outcome unknown.
type resultStore struct {
	maxResults int
	maxBytes   model.Bytes
	entries    map[requestKey]*resultEntry
	finished   []*resultEntry // oldest first
	bytes      model.Bytes
}

// getOrAdd returns the entry of the key and whether it is new. It returns nil if too many requests are in progress.
func (s *resultStore) getOrAdd(k requestKey, now time.Time) (entry *resultEntry, isNew bool) {
	if entry := s.entries[k]; entry != nil {
		return entry, false
	}
	s.prune(now, 1)
	if len(s.entries) >= s.maxResults {
		return nil, false
	}
	if s.entries == nil {
		s.entries = map[requestKey]*resultEntry{}
	}
	entry = &resultEntry{key: k, done: make(chan struct{})}
	s.entries[k] = entry
	return entry, true
}

// finish sets the result, releases the waiting calls, and stores the result if keep is set.
func (s *resultStore) finish(entry *resultEntry, res Result, keep bool, now time.Time) {
	entry.result = res
	close(entry.done)
	if !keep {
		delete(s.entries, entry.key)
		return
	}
	s.finished = append(s.finished, entry)
	s.bytes += entry.size()
	s.prune(now, 0)
}

// prune drops results, oldest first, as long as the oldest one has expired or the limits don't allow the needed number of
// new entries.
func (s *resultStore) prune(now time.Time, needed int) {
	for len(s.finished) > 0 {
		old := s.finished[0]
		if now.Before(old.expiresAt) && len(s.entries)+needed <= s.maxResults && s.bytes <= s.maxBytes {
			return
		}
		s.finished[0] = nil
		s.finished = s.finished[1:]
		s.bytes -= old.size()
		delete(s.entries, old.key)
	}
}
