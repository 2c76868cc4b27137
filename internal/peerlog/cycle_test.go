package peerlog

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/fake/log"
	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// follow reads the log at a host, record by record, and sends the times at which the records arrive.
func (h *testHost) follow(ctx context.Context) <-chan time.Time {
	arrived := make(chan time.Time, 1000)
	go func() {
		for next := model.Offset(0); ctx.Err() == nil; {
			b, err := h.log.Read(ctx, next, 600*time.Millisecond)
			for range b.Records {
				next++
				arrived <- time.Now()
			}
			if err != nil {
				time.Sleep(150 * time.Millisecond)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	return arrived
}

// Guards against hosts without a direct connection that wait for records through each other while another host has them.
func TestHostsWithoutDirectConnectionsDoNotWaitForEachOther(t *testing.T) {
	is := is.New(t)
	l := log.New(log.Options{})
	live := newHost(t, l, func() []string { return nil })
	var cut [4]*testHost
	for i := range cut {
		cut[i] = newHost(t, l, func() (nearestFirst []string) {
			for j, h := range cut {
				if j != i {
					nearestFirst = append(nearestFirst, h.addr)
				}
			}
			return append(nearestFirst, live.addr)
		})
	}
	live.follow(t.Context())
	var arrivals []<-chan time.Time
	for _, h := range cut {
		arrivals = append(arrivals, h.follow(t.Context()))
	}
	time.Sleep(100 * time.Millisecond)
	for _, h := range cut {
		h.fault.Store(log.FaultUnavailable)
	}
	for _, h := range cut {
		for !h.log.DirectDown() {
			time.Sleep(time.Millisecond)
		}
	}
	time.Sleep(250 * time.Millisecond) // each has retried its read through a peer
	for range 10 {
		sentAt := time.Now()
		_, err := l.Append("jobs", recordsWithKey("a"), journaler.AppendCondition{})
		is.NoErr(err)
		var latest time.Duration
		for _, arrived := range arrivals {
			latest = max(latest, (<-arrived).Sub(sentAt))
		}
		t.Log(latest)
		is.True(latest < probeReadTimeout)
		time.Sleep(150 * time.Millisecond)
	}
}

// Guards against a host that can't read, or stays behind, because the peers that it reaches have no direct connection themselves.
func TestHostReadsThroughPeersWithoutDirectConnections(t *testing.T) {
	is := is.New(t)
	l := log.New(log.Options{})
	live := newHost(t, l, func() []string { return nil })
	live.follow(t.Context())
	var addresses []string
	for range 4 {
		h := newHost(t, l, func() []string { return []string{live.addr} })
		h.fault.Store(log.FaultUnavailable)
		h.follow(t.Context())
		addresses = append(addresses, h.addr)
	}
	time.Sleep(600 * time.Millisecond) // they read through the live host
	addresses = append(addresses, newSilentListener(t), newSilentListener(t), "127.0.0.1:1")
	isolated := newHost(t, l, func() []string { return addresses })
	isolated.fault.Store(log.FaultUnavailable)
	isolated.log.Metrics = NewMetrics()
	_, err := isolated.log.Read(t.Context(), 0, 0)
	is.True(err != nil) // the direct connection is lost
	arrived := isolated.follow(t.Context())
	const records = 20
	for range records {
		sentAt := time.Now()
		_, err := l.Append("jobs", recordsWithKey("a"), journaler.AppendCondition{})
		is.NoErr(err)
		is.True((<-arrived).Sub(sentAt) < 2*probeReadTimeout)
		time.Sleep(100 * time.Millisecond)
	}
	is.Equal(isolated.log.Metrics.Reads.Get("jobs/peer/failed"), nil)
	reads, err := strconv.Atoi(isolated.readCount(sourcePeer))
	is.NoErr(err)
	is.True(reads < records+records/2) // most reads wait for a record
}

// Guards against hosts that each read the log themselves once a second, because the first host of their group has lost the log.
func TestReadersUseNextRelayWhenFirstRefuses(t *testing.T) {
	is := is.New(t)
	l := log.New(log.Options{})
	live := newHost(t, l, func() []string { return nil })
	first := newHost(t, l, func() []string { return []string{live.addr} })
	second := newHost(t, l, func() []string { return nil })
	third := newHost(t, l, func() []string { return nil })
	second.log.Relays = func() []string { return []string{first.addr} }
	third.log.Relays = func() []string { return []string{first.addr, second.addr} }
	for _, h := range []*testHost{live, first, second, third} {
		h.log.Metrics = NewMetrics()
		h.follow(t.Context())
	}
	first.fault.Store(log.FaultUnavailable)
	for !first.log.DirectDown() {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(tailFreshness + peerBackoff) // reads that waited at the first host, or before the others had read, have ended
	third.log.Metrics.Reads.Init()
	for range 20 {
		_, err := l.Append("jobs", recordsWithKey("a"), journaler.AppendCondition{})
		is.NoErr(err)
		time.Sleep(150 * time.Millisecond)
	}
	is.True(third.readCount(sourceRelay) != "0")
	is.Equal(third.readCount(sourceDirect), "0")
}

// Guards against readers that wait at a relay after that has lost its direct connection and may read through them.
func TestReadsThatWaitAtRelayEndWhenItLosesTheLog(t *testing.T) {
	is := is.New(t)
	l, relay, reader := relayPair(t)
	_, err := relay.log.Read(t.Context(), 0, 0)
	is.NoErr(err)
	arrived := reader.follow(t.Context())
	time.Sleep(100 * time.Millisecond)
	relay.fault.Store(log.FaultUnavailable)
	_, err = relay.log.Append(t.Context(), recordsWithKey("a"), journaler.AppendCondition{})
	is.True(err != nil && relay.log.DirectDown())
	sentAt := time.Now()
	_, err = l.Append("jobs", recordsWithKey("a"), journaler.AppendCondition{})
	is.NoErr(err)
	is.True((<-arrived).Sub(sentAt) < probeReadTimeout)
}
