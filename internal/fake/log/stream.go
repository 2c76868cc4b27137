package log

import (
	"time"

	"chestnutmux.example/chestnutmux/internal/logclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// maxReadBytes bounds the data in one answer; a single larger record is still returned.
const maxReadBytes = 4 << 20

// stream holds the records of one stream; offsets start at 0 and have no gaps.
type stream struct {
	first   model.Offset
	records []logclient.Record
	changed chan struct{} // closed at the next append
}

func (s *stream) next() model.Offset { return s.first + model.Offset(len(s.records)) }

func (s *stream) append(now time.Time, req logclient.AppendRequest) model.Offset {
	off := s.next()
	s.records = append(s.records, logclient.Record{Offset: off, ID: req.ID, AtMS: now.UnixMilli(), Data: req.Data})
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
	return off
}

// trim drops records beyond the count and those at least as old as the retention.
func (s *stream) trim(now time.Time, retention time.Duration, maxRecords int) {
	n := max(0, len(s.records)-maxRecords)
	limit := now.Add(-retention).UnixMilli()
	for n < len(s.records) && s.records[n].AtMS <= limit {
		n++
	}
	s.records = s.records[n:]
	s.first += model.Offset(n)
}

// read returns up to maxRecords records from the offset on, which is not below first.
func (s *stream) read(from model.Offset, maxRecords int) []logclient.Record {
	if from >= s.next() {
		return nil
	}
	rest := s.records[from-s.first:]
	size := 0
	for i, r := range rest {
		size += len(r.Data)
		if i == maxRecords || i > 0 && size > maxReadBytes {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

func (s *stream) wait() <-chan struct{} {
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}
