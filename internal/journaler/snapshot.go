package journaler

import (
	"context"

	"chestnutmux.example/chestnutmux/internal/watchdog"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// KeyAfterAll sorts after the keys of all records, so that a read of the newest records from there on transfers none.
const KeyAfterAll = "~"

// SnapshotLoader reads the newest record of each key of a log, page by page. After a failure it continues with the page that has
// failed, so that a slow link carries each page once. The zero value starts with the first page.
type SnapshotLoader struct {
	records []Record
	next    model.Offset // lowest end of the log of the pages in records
	after   string       // key after which the next page starts; empty before the first page
}

// Load returns the newest record of each key and the offset at which to continue reading. This is the lowest end of the log of
// all pages, because a later page may come from a host that knows less of the log.
func (l *SnapshotLoader) Load(ctx context.Context, log Log) ([]Record, model.Offset, error) {
	for {
		p, err := l.readPage(ctx, log)
		if err != nil {
			return nil, 0, err
		}
		if l.after == "" || p.EndOffset < l.next {
			l.next = p.EndOffset
		}
		l.records = append(l.records, p.Records...)
		if p.HasMore && len(p.Records) > 0 {
			l.after = p.Records[len(p.Records)-1].Key
			continue
		}
		records, next := l.records, l.next
		*l = SnapshotLoader{}
		return records, next, nil
	}
}

func (l *SnapshotLoader) readPage(ctx context.Context, log Log) (Page, error) {
	ctx, cancel := watchdog.WithLimits(ctx, watchdog.Limits{Start: loadTimeout, Stall: readTimeout, Total: maxTransferTime})
	defer cancel()
	return log.ReadNewest(ctx, l.after)
}
