package peerlog

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/fake/log"
	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Guards against callers of a turned-away host that wait for the time-out of a silent connection, once or with each append.
func TestTurnedAwayHostAppendsThroughPeerInTime(t *testing.T) {
	for _, f := range []log.CallFault{log.FaultUnavailable, log.FaultRequestLost, log.FaultResponseLost} {
		is := is.New(t)
		l := log.New(log.Options{})
		other := newHost(t, l, func() []string { return nil })
		isolated := newHost(t, l, func() []string { return []string{other.addr} })
		isolated.fault.Store(f)
		for _, limit := range []time.Duration{directAppendTimeout, hedgeDelay} {
			start := time.Now()
			_, err := isolated.log.Append(t.Context(), recordsWithKey("a"), journaler.AppendCondition{})
			is.NoErr(err)
			is.True(time.Since(start) < limit)
		}
	}
}

// Guards against an append that fails because the log has turned the first peer away too, which does not know that yet.
func TestAppendGoesOnAtNextPeerWhenTheLogRefusesOne(t *testing.T) {
	is := is.New(t)
	l := log.New(log.Options{})
	refused, other := newHost(t, l, func() []string { return nil }), newHost(t, l, func() []string { return nil })
	refused.fault.Store(log.FaultUnavailable)
	for range 5 { // peers are called in random order
		isolated := newHost(t, l, func() []string { return []string{refused.addr, other.addr} })
		isolated.fault.Store(log.FaultUnavailable)
		_, err := isolated.log.Append(t.Context(), recordsWithKey("a"), journaler.AppendCondition{})
		is.NoErr(err)
	}
}

// slowStream delays appends and counts them.
type slowStream struct {
	journaler.Log
	delay   time.Duration
	appends atomic.Int32
}

func (s *slowStream) Append(ctx context.Context, records []journaler.Record, c journaler.AppendCondition) (model.Offset, error) {
	s.appends.Add(1)
	time.Sleep(s.delay)
	return s.Log.Append(ctx, records, c)
}

// Guards against a slow log that gets each append twice.
func TestSlowLogGetsAppendsOnce(t *testing.T) {
	is := is.New(t)
	l := log.New(log.Options{})
	peer := newHost(t, l, func() []string { return nil })
	host := newHost(t, l, func() []string { return []string{peer.addr} })
	slow := &slowStream{Log: host.log.Direct, delay: hedgeDelay + 100*time.Millisecond}
	slowAtPeer := &slowStream{Log: peer.log.Direct, delay: slow.delay}
	host.log.Direct, peer.log.Direct = slow, slowAtPeer
	for range 4 {
		_, err := host.log.Append(t.Context(), recordsWithKey("a"), journaler.AppendCondition{})
		is.NoErr(err)
	}
	is.Equal(slow.appends.Load(), int32(4))
	is.Equal(slowAtPeer.appends.Load(), int32(1))
	is.True(!host.log.DirectDown())
}

// Guards against an isolated host that takes silent peers for responding ones, or peers without the log for silent ones.
func TestCountResponding(t *testing.T) {
	is := is.New(t)
	l := log.New(log.Options{})
	isolated := newHost(t, l, func() []string { return nil })
	isolated.fault.Store(log.FaultUnavailable)
	peers := &Peers{Addresses: func() []string { return []string{"127.0.0.1:1", isolated.addr} }, Logger: hclog.NewNullLogger()}
	responding, silent := peers.CountResponding()
	is.Equal(responding+silent, 0) // none was called
	_, err := (&remoteLog{peers: peers, name: "jobs"}).append(t.Context(), recordsWithKey("a"), journaler.AppendCondition{})
	is.True(err != nil)
	responding, silent = peers.CountResponding()
	is.Equal(responding, 1)
	is.Equal(silent, 1)
	peers.backoffs["127.0.0.1:1"] = backoff{until: time.Now().Add(-time.Minute), failures: 1} // it was not called since
	_, silent = peers.CountResponding()
	is.Equal(silent, 0)
}

// Guards against an append whose outcome counts as unknown although the log has refused it at each peer.
func TestRefusalAtAllPeersIsNoUnknownOutcome(t *testing.T) {
	is := is.New(t)
	l := log.New(log.Options{})
	refused := newHost(t, l, func() []string { return nil })
	refused.fault.Store(log.FaultUnavailable)
	peers := &Peers{Addresses: func() []string { return []string{refused.addr} }, Logger: hclog.NewNullLogger()}
	_, err := (&remoteLog{peers: peers, name: "jobs"}).append(t.Context(), recordsWithKey("a"), journaler.AppendCondition{})
	is.True(errors.Is(err, journaler.ErrNotAppended))
	is.True(!errors.Is(err, journaler.ErrOutcomeUnknown))
}
