package peerlog

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chestnutmux.example/chestnutmux/internal/fake/log"
	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/internal/watchdog"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Guards against hosts that read through each other in a circle, and against a record that crosses a link once for each host.
func TestEachGroupHasOneDirectReader(t *testing.T) {
	is := is.New(t)
	var hosts []journaler.HostAddress
	for _, domain := range []string{"a", "b"} {
		for i := range 19 {
			id := fmt.Sprintf("%s-%02d", domain, i)
			hosts = append(hosts, journaler.HostAddress{Host: model.HostID(id), Domain: model.DomainID(domain), Address: id})
		}
	}
	direct := 0
	for _, h := range hosts {
		candidates := RelayCandidates(hosts, h.Host)
		if len(candidates) == 0 {
			direct++
		}
		for _, c := range candidates {
			is.True(c < string(h.Host) && c[:1] == string(h.Domain))
		}
	}
	is.Equal(direct, 6)
	is.Equal(DirectReaders(19), 3)
	is.Equal(len(RelayCandidates(hosts, "unknown")), 0)
}

// relayPair returns two hosts of one group on a log, of which the second reads through the first.
func relayPair(t *testing.T) (l *log.Log, relay, reader *testHost) {
	l = log.New(log.Options{})
	relay = newHost(t, l, func() []string { return nil })
	reader = newHost(t, l, func() []string { return nil })
	reader.log.Relays = func() []string { return []string{relay.addr} }
	reader.log.Metrics = NewMetrics()
	return l, relay, reader
}

func (h *testHost) readCount(s source) string {
	if v := h.log.Metrics.Reads.Get("jobs/" + string(s) + "/ok"); v != nil {
		return v.String()
	}
	return "0"
}

// Guards against a host that calls the log for records that the reader of its group has.
func TestHostReadsThroughRelay(t *testing.T) {
	is := is.New(t)
	l, relay, reader := relayPair(t)
	_, err := l.Append("jobs", recordsWithKey("a"), journaler.AppendCondition{})
	is.NoErr(err)
	_, err = relay.log.Read(t.Context(), 0, 0)
	is.NoErr(err)
	reader.fault.Store(log.FaultUnavailable)
	b, err := reader.log.Read(t.Context(), 0, time.Second)
	is.NoErr(err)
	is.Equal(b.Records[0].Key, "a")
	is.True(reader.log.ThroughRelay())
	is.Equal(reader.readCount(sourceRelay), "1")
	go func() {
		_, _ = l.Append("jobs", recordsWithKey("b"), journaler.AppendCondition{})
		_, _ = relay.log.Read(context.Background(), 1, time.Second)
	}()
	b, err = reader.log.Read(t.Context(), 1, time.Second)
	is.NoErr(err)
	is.Equal(b.Records[0].Key, "b")
	is.Equal(reader.readCount(sourceDirect), "0")
}

// Guards against a host that stays behind because the reader of its group has lost the log, is gone or does not respond.
func TestHostReadsDirectlyWithoutWorkingRelay(t *testing.T) {
	is := is.New(t)
	l, relay, reader := relayPair(t)
	_, err := relay.log.Read(t.Context(), 0, 0)
	is.NoErr(err)
	_, err = l.Append("jobs", recordsWithKey("a"), journaler.AppendCondition{}) // the relay does not read this record
	is.NoErr(err)
	start := time.Now()
	b, err := reader.log.Read(t.Context(), 0, 2*time.Second)
	is.NoErr(err)
	is.Equal(len(b.Records), 1)
	is.True(time.Since(start) < tailFreshness+relayResponseTimeout)
	is.True(!reader.log.ThroughRelay())

	silent := newSilentListener(t)
	for _, addr := range []string{silent, "127.0.0.1:1"} {
		reader.log.Relays = func() []string { return []string{addr} }
		ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
		b, err = reader.log.Read(ctx, 0, 800*time.Millisecond)
		cancel()
		is.NoErr(err)
		is.Equal(len(b.Records), 1)
	}
}

// Guards against two hosts that wait for records through each other while one of them can't reach the log.
func TestRelayWithoutDirectConnectionReadsThroughItsReader(t *testing.T) {
	is := is.New(t)
	l, relay, reader := relayPair(t)
	relay.log.Peers.Addresses = func() []string { return []string{reader.addr} }
	follow := func(h *testHost) <-chan time.Time {
		arrived := make(chan time.Time, 100)
		go func() {
			for next := model.Offset(0); t.Context().Err() == nil; {
				b, err := h.log.Read(t.Context(), next, 800*time.Millisecond)
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				for range b.Records {
					next++
					arrived <- time.Now()
				}
			}
		}()
		return arrived
	}
	atRelay, atReader := follow(relay), follow(reader)
	time.Sleep(100 * time.Millisecond)
	relay.fault.Store(log.FaultUnavailable)
	time.Sleep(tailFreshness + peerBackoff) // the relay has noticed, and reads that waited then have ended
	is.True(relay.log.DirectDown())
	var latest time.Duration
	for range 20 {
		sentAt := time.Now()
		_, err := l.Append("jobs", recordsWithKey("a"), journaler.AppendCondition{})
		is.NoErr(err)
		for _, arrived := range []<-chan time.Time{atRelay, atReader} {
			latest = max(latest, (<-arrived).Sub(sentAt))
		}
		time.Sleep(150 * time.Millisecond)
	}
	is.True(latest < probeReadTimeout)
}

// Guards against a host that has a record, but keeps it from its neighbours because it did not read it from the log itself.
func TestHostServesRecordsThatItGotThroughRelay(t *testing.T) {
	is := is.New(t)
	l, relay, reader := relayPair(t)
	third := newHost(t, l, func() []string { return []string{reader.addr} })
	_, err := l.Append("jobs", recordsWithKey("a"), journaler.AppendCondition{})
	is.NoErr(err)
	_, err = relay.log.Read(t.Context(), 0, 0)
	is.NoErr(err)
	for _, h := range []*testHost{relay, reader, third} {
		h.fault.Store(log.FaultUnavailable)
	}
	before := time.Now()
	b, err := reader.log.Read(t.Context(), 0, time.Second)
	is.NoErr(err)
	is.True(b.ConfirmedAt.Before(before)) // the end of the log was confirmed when the relay read it
	_, err = third.log.Append(t.Context(), recordsWithKey("b"), journaler.AppendCondition{})
	is.True(err != nil)
	is.True(third.log.DirectDown())
	time.Sleep(peerBackoff) // the append has failed at the reader
	b, err = third.log.Read(t.Context(), 0, time.Second)
	is.NoErr(err)
	is.Equal(b.Records[0].Key, "a")
	is.True(time.Since(b.ConfirmedAt) > peerBackoff)
}

// Guards against hosts that all read a large record over one link, because their relay takes longer than usual to receive it.
func TestHostWaitsForRelayThatReceivesLargeRecord(t *testing.T) {
	is := is.New(t)
	_, relay, reader := relayPair(t)
	relay.log.tail.add(0, journaler.Batch{ConfirmedAt: time.Now().Add(-2 * time.Second)})
	ctx := watchdog.Observe(t.Context(), relay.log.tail.markReceiving)
	watchdog.Progress(ctx)
	go func() {
		for range 10 {
			time.Sleep(receivingFreshness / 5)
			watchdog.Progress(ctx)
		}
		relay.log.tail.add(0, journaler.Batch{Records: []journaler.Record{{Key: "large"}}, EndOffset: 1, ConfirmedAt: time.Now()})
	}()
	b, err := reader.log.Read(t.Context(), 0, 2*time.Second)
	is.NoErr(err)
	is.Equal(b.Records[0].Key, "large")
	is.Equal(reader.readCount(sourceDirect), "0")
	relay.log.tail.add(1, journaler.Batch{})
	_, err = reader.log.Read(t.Context(), 1, tailFreshness+maxReceivingTime)
	is.NoErr(err)
	is.Equal(reader.readCount(sourceDirect), "1") // the relay has stopped receiving
}

// Guards against a read of the end of the log that misses records because a relay answers it.
func TestReadWithoutWaitGoesToTheLog(t *testing.T) {
	is := is.New(t)
	l, relay, reader := relayPair(t)
	_, err := relay.log.Read(t.Context(), 0, 0)
	is.NoErr(err)
	_, err = l.Append("jobs", recordsWithKey("a"), journaler.AppendCondition{})
	is.NoErr(err)
	b, err := reader.log.Read(t.Context(), 0, 0)
	is.NoErr(err)
	is.Equal(b.EndOffset, model.Offset(1))
	reader.log.ReadsDirectly = func() bool { return true }
	_, err = reader.log.Read(t.Context(), 0, time.Second)
	is.NoErr(err)
	is.Equal(reader.readCount(sourceDirect), "2")
	is.Equal(reader.readCount(sourceRelay), "0")
}

// Guards against a tail that skips or repeats records after overlapping reads, gaps or evictions.
func TestTailReturnsTheRecordsOfTheLog(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tl := &tail{}
		size := rapid.IntRange(1, maxTailBytes/4).Draw(rt, "bytes")
		value := make([]byte, size)
		for range rapid.IntRange(1, 20).Draw(rt, "reads") {
			from := model.Offset(rapid.IntRange(0, 30).Draw(rt, "from"))
			var b journaler.Batch
			for i := range rapid.IntRange(0, 8).Draw(rt, "records") {
				b.Records = append(b.Records, journaler.Record{Key: "k", Value: value, Offset: from + model.Offset(i)})
			}
			b.ConfirmedAt = time.Now()
			tl.add(from, b)
			at := model.Offset(rapid.IntRange(0, 40).Draw(rt, "at"))
			got, ok := tl.read(context.Background(), at, 0)
			if ok && at >= tl.end && len(got.Records) > 0 {
				rt.Fatalf("read from %d beyond the end %d returned records", at, tl.end)
			}
			for i, r := range got.Records {
				if r.Offset != at+model.Offset(i) {
					rt.Fatalf("read from %d returned offset %d at position %d", at, r.Offset, i)
				}
			}
			if tl.bytes > maxTailBytes {
				rt.Fatalf("the tail holds %d bytes", tl.bytes)
			}
		}
	})
}

// newSilentListener returns the address of a peer that accepts connections and does not respond.
func newSilentListener(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln.Addr().String()
}
