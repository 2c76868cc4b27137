package coordinator

import (
	"context"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/fake/log"
	"chestnutmux.example/chestnutmux/internal/journaler"
)

// newestRecordsLog counts the reads of the newest records and the records that they return.
type newestRecordsLog struct {
	journaler.Log
	reads, records int
}

func (l *newestRecordsLog) ReadNewest(ctx context.Context, after string) (journaler.Page, error) {
	p, err := l.Log.ReadNewest(ctx, after)
	l.reads++
	l.records += len(p.Records)
	return p, err
}

// Guards against hosts that transfer all jobs to measure the round-trip time, which fills the link when all start at once.
func TestRoundTripMeasurementTransfersNoRecords(t *testing.T) {
	is := is.New(t)
	term, err := journaler.NewTermRecord(journaler.Term{Fence: 1})
	is.NoErr(err)
	store := log.New(log.Options{})
	_, err = store.Append("jobs", []journaler.Record{term}, journaler.AppendCondition{})
	is.NoErr(err)
	l := &newestRecordsLog{Log: &log.DirectStream{Log: store, StreamName: "jobs"}}
	New(Config{Log: l, Logger: hclog.NewNullLogger()}).measureLogRoundTrip(t.Context())
	is.Equal(l.reads, 2)
	is.Equal(l.records, 0)
}
