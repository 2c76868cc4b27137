package coordinator

import (
	"context"
	"testing"
	"time"

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

// Guards against a leader whose processor is too slow to renew its term, whose link is too slow to start many tasks, or whose memory is too small for the fleet.
func TestCapableHostLeads(t *testing.T) {
	for name, set := range map[string]func(h *testHost, capable bool){
		"processor": func(h *testHost, capable bool) {
			h.processors = 0.192
			if capable {
				h.processors = 0.8
			}
		},
		"link": func(h *testHost, capable bool) {
			h.processors, h.linkRate = 0.8, 1_250_000
			if capable {
				h.linkRate = 25_000_000
			}
		},
		"memory": func(h *testHost, capable bool) {
			h.processors, h.memory = 0.8, 184
			if capable {
				h.memory = 536
			}
		},
	} {
		t.Run(name, func(t *testing.T) { testCapableHostLeads(t, set) })
	}
}

func testCapableHostLeads(t *testing.T, set func(h *testHost, capable bool)) {
	for seed := uint64(1); seed <= 5; seed++ {
		runInCluster(t, seed, 8, 1, 1, func(c *cluster, is *is.I) {
			first, second := c.awaitLeader(), c.hosts[0]
			if first == second {
				second = c.hosts[1]
			}
			isCapable := func(h *testHost) bool { return h == first || h == second }
			for _, h := range c.hosts {
				h.restartWith(func() { set(h, isCapable(h)) })
			}
			time.Sleep(3 * time.Second)
			is.True(isCapable(c.awaitLeader()))
			c.awaitLeader().cancel()
			time.Sleep(3 * time.Second)
			is.True(isCapable(c.awaitLeader()))
		})
	}
}
