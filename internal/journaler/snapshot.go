package journaler

import (
	"context"
	"time"

	"chestnutmux.example/chestnutmux/internal/watchdog"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// KeyAfterAll sorts after the keys of all records, so that a read of the newest records from there on transfers none.
const KeyAfterAll = "~"

// Snapshot is the newest record of each key of a log.
type Snapshot struct {
	Records     []Record
	NextOffset  model.Offset // offset at which to continue reading
	ConfirmedAt time.Time    // time at which the log ended at NextOffset; zero means that it is unknown
}

// SnapshotLoader reads the newest record of each key of a log, page by page. After a failure it continues with the page that has
// failed, so that a slow link carries each page once. The zero value starts with the first page.
type SnapshotLoader struct {
	snapshot Snapshot // from the pages read so far
	after    string   // key after which the next page starts; empty before the first page
}

// Load returns the newest record of each key. The reader continues at the lowest end of the log of all pages, because a later page
// may come from a host that knows less of the log.
func (l *SnapshotLoader) Load(ctx context.Context, log Log) (Snapshot, error) {
	for {
		p, err := l.readPage(ctx, log)
		if err != nil {
			return Snapshot{}, err
		}
		s := &l.snapshot
		if isFirst := l.after == ""; isFirst || p.EndOffset < s.NextOffset {
			s.NextOffset, s.ConfirmedAt = p.EndOffset, p.ConfirmedAt
		}
		s.Records = append(s.Records, p.Records...)
		if p.HasMore && len(p.Records) > 0 {
			l.after = p.Records[len(p.Records)-1].Key
			continue
		}
		out := *s
		*l = SnapshotLoader{}
		return out, nil
	}
}

func (l *SnapshotLoader) readPage(ctx context.Context, log Log) (Page, error) {
	ctx, cancel := watchdog.WithLimits(ctx, watchdog.Limits{Start: loadTimeout, Stall: readTimeout, Total: maxTransferTime})
	defer cancel()
	return log.ReadNewest(ctx, l.after)
}
