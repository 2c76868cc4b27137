package peerlog

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/fake/log"
	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Guards against a host that stays behind because it calls the unreachable peers of its failure domain over and over.
func TestHostFindsLivePeerBehindUnreachableOnes(t *testing.T) {
	is := is.New(t)
	l := log.New(log.Options{})
	live := newHost(t, l, func() []string { return nil })
	var addresses []string
	for range 6 {
		addresses = append(addresses, newSilentListener(t))
	}
	addresses = append(addresses, live.addr)
	isolated := newHost(t, l, func() []string { return addresses })
	isolated.fault.Store(log.FaultUnavailable)
	_, err := l.Append("jobs", recordsWithKey("a"), journaler.AppendCondition{})
	is.NoErr(err)
	for deadline := time.Now().Add(4 * time.Second); ; time.Sleep(150 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
		b, err := isolated.log.Read(ctx, 0, 800*time.Millisecond)
		cancel()
		if err == nil {
			is.Equal(b.Records[0].Key, "a")
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("no read has succeeded within 4 s: %v", err)
		}
	}
}

// Guards against a peer that is avoided, and whose connection is closed, because a caller has given up.
func TestCallerThatGivesUpLeavesPeerInUse(t *testing.T) {
	is := is.New(t)
	l := log.New(log.Options{})
	live := newHost(t, l, func() []string { return nil })
	isolated := newHost(t, l, func() []string { return []string{live.addr} })
	isolated.fault.Store(log.FaultUnavailable)
	_, err := isolated.log.Append(t.Context(), recordsWithKey("a"), journaler.AppendCondition{})
	is.NoErr(err)
	_, err = isolated.log.Read(t.Context(), 0, time.Second) // the peer is now good for reads that wait
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(100*time.Millisecond, cancel)
	_, err = isolated.log.Read(ctx, 1, time.Second)
	is.True(err != nil)
	_, err = isolated.log.Append(t.Context(), recordsWithKey("b"), journaler.AppendCondition{})
	is.NoErr(err)
}

// Guards against a host that stays behind because what it has missed is more than a peer can send before it gives up.
func TestPeerSendsLargeBacklogInParts(t *testing.T) {
	is := is.New(t)
	l := log.New(log.Options{})
	live := newHost(t, l, func() []string { return nil })
	isolated := newHost(t, l, func() []string { return []string{live.addr} })
	isolated.fault.Store(log.FaultUnavailable)
	_, err := isolated.log.Append(t.Context(), recordsWithKey("a"), journaler.AppendCondition{})
	is.NoErr(err)
	const count, size = 40, 20 << 10
	for range count {
		_, err := l.Append("jobs", []journaler.Record{{Key: "b", Value: make([]byte, size)}}, journaler.AppendCondition{})
		is.NoErr(err)
	}
	for _, readTail := range []bool{false, true} {
		if readTail {
			_, err := live.log.Read(t.Context(), 0, 0)
			is.NoErr(err)
		}
		for next := 0; next <= count; {
			b, err := isolated.log.Read(t.Context(), model.Offset(next), time.Second)
			is.NoErr(err)
			is.True(len(b.Records) > 0 && totalBytes(b.Records) <= maxResponseBytes)
			is.Equal(b.Records[0].Offset, model.Offset(next))
			next += len(b.Records)
		}
	}
}

// Guards against a host that calls the same unreachable peers again and again because their backoffs end before it has called the others.
func TestPeersThatHaveNotFailedAreCalledFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &Peers{Addresses: func() []string { return []string{"a", "b", "c", "d", "live"} }}
		for _, failed := range []string{"a", "b", "c", "d"} {
			p.startBackoff(failed)
		}
		is.Equal(p.pickPeers(), []string{"live"})
		time.Sleep(unreachableBackoff + time.Millisecond)
		picked := p.pickPeers()
		is.Equal(len(picked), maxPeersPerCall)
		is.Equal(picked[0], "live")
		slices.Sort(picked)
		is.Equal(picked, []string{"a", "b", "live"})
	})
}
