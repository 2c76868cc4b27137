package coordinator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/fake/log"
	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Guards against an election milliseconds after a renewal that the replica has applied but the elector has not seen.
func TestNoElectionBesideFreshLeaderRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := log.New(log.Options{AppendsPerSecond: 1000})
		c := New(Config{Host: "h1", Log: &log.DirectStream{Log: l, StreamName: "jobs"}, Logger: hclog.NewNullLogger()})
		c.elector.ElectionDelay = 1
		rec, err := journaler.NewTermRecord(journaler.Term{Fence: 1, Host: "h0", Nonce: "x", FirstSeq: 5})
		is.NoErr(err)
		renewTerm := func(seq int64) {
			w := &journaler.Writer{Name: "leader", Epoch: 1, Seq: seq}
			offset, err := l.Append("jobs", []journaler.Record{rec}, journaler.AppendCondition{Writer: w})
			is.NoErr(err)
			rec.Offset = offset
			c.replica.Apply(rec)
		}
		c.handleSnapshotLoaded()
		renewTerm(5)
		c.handleReadResult(true)
		is.True(!c.canStartElection())
		time.Sleep(electionTimeout + 50*time.Millisecond)
		is.True(c.canStartElection())
		renewTerm(6)
		c.startElection(context.Background())
		rep := &journaler.Replica{}
		rep.LoadSnapshot(l.ReadNewest("jobs", "").Records, 0)
		term, _ := rep.Term()
		is.Equal(term.Fence, model.FencingToken(1))
	})
}
