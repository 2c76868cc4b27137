package log

import (
	"cmp"
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// rememberedAppends is the number of appends of a writer whose repeats get their first answer again.
	rememberedAppends = 5
	// pageSize is the most records of one page of the newest ones.
	pageSize = 500
)

// stream is one stream; the log's lock protects it.
type stream struct {
	first   model.Offset // of the records kept
	records []entry
	newest  map[string]journaler.Record
	writers map[string]*writer
	changed chan struct{} // closed at the next append
}

type entry struct {
	record journaler.Record
	at     time.Time
}

// writer is what the stream knows of a writer with epochs.
type writer struct {
	epoch   model.FencingToken
	last    int64
	answers []writerAppend
}

type writerAppend struct {
	seq    int64
	offset model.Offset
}

func (s *stream) end() model.Offset { return s.first + model.Offset(len(s.records)) }

// append adds records under a condition, or returns a typed error.
func (s *stream) append(now time.Time, records []journaler.Record, c journaler.AppendCondition) (model.Offset, error) {
	if c.ExpectedEnd != nil && *c.ExpectedEnd != s.end() {
		return 0, &journaler.OffsetMismatchError{EndOffset: s.end()}
	}
	if c.Writer != nil {
		if off, done, err := s.admit(c.Writer, len(records)); done || err != nil {
			return off, err
		}
	}
	off := s.end()
	for _, r := range records {
		r.Offset = s.end()
		s.records = append(s.records, entry{record: r, at: now})
		if s.newest == nil {
			s.newest = map[string]journaler.Record{}
		}
		if len(r.Value) == 0 {
			delete(s.newest, r.Key)
		} else {
			s.newest[r.Key] = r
		}
	}
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
	return off, nil
}

// admit checks epoch and sequence of a writer; done means that the append is a repeat.
func (s *stream) admit(w *journaler.Writer, n int) (off model.Offset, done bool, err error) {
	if s.writers == nil {
		s.writers = map[string]*writer{}
	}
	known := s.writers[w.Name]
	if known == nil {
		known = &writer{}
		s.writers[w.Name] = known
	}
	switch {
	case w.Epoch < known.epoch:
		return 0, false, journaler.ErrFenced
	case w.Epoch > known.epoch:
		known.epoch, known.last, known.answers = w.Epoch, w.Seq-1, nil
	}
	if n == 0 {
		return s.end(), true, nil
	}
	for _, a := range known.answers {
		if a.seq == w.Seq {
			return a.offset, true, nil
		}
	}
	if w.Seq != known.last+1 {
		return 0, false, &journaler.SequenceError{ExpectedSeq: known.last + 1}
	}
	known.last = w.Seq
	known.answers = append(known.answers, writerAppend{seq: w.Seq, offset: s.end()})
	if len(known.answers) > rememberedAppends {
		known.answers = known.answers[1:]
	}
	return 0, false, nil
}

// trim drops records that are too old; the newest of each key stays.
func (s *stream) trim(now time.Time, retention time.Duration) {
	n := 0
	for n < len(s.records) && now.Sub(s.records[n].at) > retention {
		n++
	}
	s.first += model.Offset(n)
	s.records = s.records[n:]
}

// read returns the records from an offset.
func (s *stream) read(from model.Offset, most int) (journaler.Batch, error) {
	if from < s.first {
		return journaler.Batch{}, &journaler.TrimmedError{FirstOffset: s.first}
	}
	b := journaler.Batch{EndOffset: s.end(), Records: []journaler.Record{}}
	for i := int(from - s.first); i < len(s.records) && len(b.Records) < most; i++ {
		b.Records = append(b.Records, s.records[i].record)
	}
	return b, nil
}

// page returns the newest record of each key after the given one.
func (s *stream) page(after string) journaler.Page {
	p := journaler.Page{EndOffset: s.end(), Records: []journaler.Record{}}
	for key, r := range s.newest {
		if key > after {
			p.Records = append(p.Records, r)
		}
	}
	slices.SortFunc(p.Records, func(a, b journaler.Record) int { return cmp.Compare(a.Key, b.Key) })
	if len(p.Records) > pageSize {
		p.Records, p.HasMore = p.Records[:pageSize], true
	}
	return p
}

// wait returns a channel that is closed at the next append.
func (s *stream) wait() <-chan struct{} {
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}
