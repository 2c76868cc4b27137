package log

import (
	"cmp"
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// maxRememberedAppends is the number of latest appends of a writer for which a retry returns the offset of the first attempt.
	maxRememberedAppends = 5
	// maxPageRecords is the number of records in a full page of ReadNewest.
	maxPageRecords = 500
)

// stream is a stream of records; the log's lock protects it.
type stream struct {
	firstOffset   model.Offset // offset of the oldest retained record
	records       []entry
	newestByKey   map[string]journaler.Record
	writersByName map[string]*writerState
	appended      chan struct{} // closed at the next append; nil until the next call of nextAppend
}

// entry is a retained record with the time of its append.
type entry struct {
	record     journaler.Record
	appendedAt time.Time
}

// writerState is the state of a writer whose appends carry an epoch and a sequence number.
type writerState struct {
	epoch         model.FencingToken
	lastSeq       int64
	recentAppends []completedAppend // the latest appends of the epoch, oldest first
}

// completedAppend is an append of a writer with the offset that was returned for it.
type completedAppend struct {
	seq    int64
	offset model.Offset
}

// endOffset returns the offset that the next record gets.
func (s *stream) endOffset() model.Offset { return s.firstOffset + model.Offset(len(s.records)) }

// append appends records if the condition holds; otherwise it returns a typed error of package journaler.
func (s *stream) append(now time.Time, records []journaler.Record, cond journaler.AppendCondition) (model.Offset, error) {
	if cond.ExpectedEnd != nil && *cond.ExpectedEnd != s.endOffset() {
		return 0, &journaler.OffsetMismatchError{EndOffset: s.endOffset()}
	}
	if cond.Writer != nil {
		if off, skip, err := s.checkWriter(cond.Writer, len(records)); skip || err != nil {
			return off, err
		}
	}
	off := s.endOffset()
	for _, r := range records {
		r.Offset = s.endOffset()
		s.records = append(s.records, entry{record: r, appendedAt: now})
		if s.newestByKey == nil {
			s.newestByKey = map[string]journaler.Record{}
		}
		if len(r.Value) == 0 { // a tombstone: deletes the key
			delete(s.newestByKey, r.Key)
		} else {
			s.newestByKey[r.Key] = r
		}
	}
	if s.appended != nil {
		close(s.appended)
		s.appended = nil
	}
	return off, nil
}

// checkWriter checks the epoch and sequence number of an append. It reports skip if nothing is to be appended, because the
// append is a retry, for which the offset of the first attempt is returned, or has no records and only raises the epoch.
func (s *stream) checkWriter(w *journaler.Writer, recordCount int) (off model.Offset, skip bool, err error) {
	if s.writersByName == nil {
		s.writersByName = map[string]*writerState{}
	}
	state := s.writersByName[w.Name]
	if state == nil {
		state = &writerState{}
		s.writersByName[w.Name] = state
	}
	switch {
	case w.Epoch < state.epoch:
		return 0, false, journaler.ErrFenced
	case w.Epoch > state.epoch:
		state.epoch, state.lastSeq, state.recentAppends = w.Epoch, w.Seq-1, nil
	}
	if recordCount == 0 {
		return s.endOffset(), true, nil
	}
	for _, a := range state.recentAppends {
		if a.seq == w.Seq {
			return a.offset, true, nil
		}
	}
	if w.Seq != state.lastSeq+1 {
		return 0, false, &journaler.SequenceError{ExpectedSeq: state.lastSeq + 1}
	}
	state.lastSeq = w.Seq
	state.recentAppends = append(state.recentAppends, completedAppend{seq: w.Seq, offset: s.endOffset()})
	if len(state.recentAppends) > maxRememberedAppends {
		state.recentAppends = state.recentAppends[1:]
	}
	return 0, false, nil
}

// trim removes the records older than the retention; newestByKey still has the newest of each key.
func (s *stream) trim(now time.Time, retention time.Duration) {
	n := 0
	for n < len(s.records) && now.Sub(s.records[n].appendedAt) > retention {
		n++
	}
	s.firstOffset += model.Offset(n)
	s.records = s.records[n:]
}

// read returns at most maxRecords records from an offset on, or an error if that offset was trimmed.
func (s *stream) read(from model.Offset, maxRecords int) (journaler.Batch, error) {
	if from < s.firstOffset {
		return journaler.Batch{}, &journaler.TrimmedError{FirstOffset: s.firstOffset}
	}
	b := journaler.Batch{EndOffset: s.endOffset(), Records: []journaler.Record{}}
	for i := int(from - s.firstOffset); i < len(s.records) && len(b.Records) < maxRecords; i++ {
		b.Records = append(b.Records, s.records[i].record)
	}
	return b, nil
}

// newestPage returns the newest records of the keys after the given one, in the order of the keys.
func (s *stream) newestPage(after string) journaler.Page {
	p := journaler.Page{EndOffset: s.endOffset(), Records: []journaler.Record{}}
	for key, r := range s.newestByKey {
		if key > after {
			p.Records = append(p.Records, r)
		}
	}
	slices.SortFunc(p.Records, func(a, b journaler.Record) int { return cmp.Compare(a.Key, b.Key) })
	if len(p.Records) > maxPageRecords {
		p.Records, p.HasMore = p.Records[:maxPageRecords], true
	}
	return p
}

// nextAppend returns a channel that is closed at the next append.
func (s *stream) nextAppend() <-chan struct{} {
	if s.appended == nil {
		s.appended = make(chan struct{})
	}
	return s.appended
}
