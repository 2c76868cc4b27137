package peerlog

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// relayGroupSize is the number of hosts of a failure domain of which one reads the log for all. A host with a link of
	// 10 Mbit/s can pass on some 100 KB/s to each of the others.
	relayGroupSize = 8
	// relayResponseTimeout is the time that a read through a relay may take in addition to its wait. It leaves the rest of
	// the caller's time for a direct read.
	relayResponseTimeout = 200 * time.Millisecond
	// directResponseReserve is the part of the caller's time that a direct read needs in addition to its wait.
	directResponseReserve = 500 * time.Millisecond
)

// RelayCandidates returns the addresses of the hosts through which a host can read the log, preferred first. The hosts of a
// failure domain form groups in the order of their ids. Each host reads through the first host of its group that responds,
// and the first host of a group reads the log itself, so that a record crosses a link between regions once for each group.
func RelayCandidates(hosts []journaler.HostAddress, self model.HostID) []string {
	i := slices.IndexFunc(hosts, func(h journaler.HostAddress) bool { return h.Host == self })
	if i < 0 {
		return nil
	}
	var members []journaler.HostAddress
	for _, h := range hosts {
		if h.Domain == hosts[i].Domain {
			members = append(members, h)
		}
	}
	slices.SortFunc(members, func(a, b journaler.HostAddress) int { return cmp.Compare(a.Host, b.Host) })
	rank := slices.IndexFunc(members, func(h journaler.HostAddress) bool { return h.Host == self })
	var out []string
	for _, h := range members[rank-rank%relayGroupSize : rank] {
		out = append(out, h.Address)
	}
	return out
}

// DirectReaders returns how many of a number of hosts read the log themselves while all relays work.
func DirectReaders(hosts int) int {
	return (hosts + relayGroupSize - 1) / relayGroupSize
}

// readThroughRelay reads from the tail of a relay. It reports false if this host has to read the log itself.
func (f *FallbackLog) readThroughRelay(ctx context.Context, from model.Offset, wait time.Duration) (journaler.Batch, bool) {
	b, err := f.tryRelay(ctx, from, wait)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.throughRelay = err == nil
	f.endGroupReads()
	return b, err == nil
}

// errNoRelay reports that this host has no relay, or none that responds.
var errNoRelay = errors.New("peerlog: no relay to read the log through")

// tryRelay reads through the first relay that serves the read before its wait is over.
func (f *FallbackLog) tryRelay(ctx context.Context, from model.Offset, wait time.Duration) (journaler.Batch, error) {
	start := time.Now()
	for {
		addr, ok := f.pickRelay()
		if !ok {
			return journaler.Batch{}, errNoRelay
		}
		b, err := f.readAtRelay(ctx, addr, from, wait-time.Since(start))
		if err == nil || !errors.Is(err, errLogNotReached) || time.Since(start) >= wait {
			return b, err
		}
	}
}

// readAtRelay reads from the tail of one relay, and delays the next read there if it fails.
func (f *FallbackLog) readAtRelay(ctx context.Context, addr string, from model.Offset, wait time.Duration) (journaler.Batch, error) {
	ctx, cancel := limitTransfer(ctx, wait+relayResponseTimeout)
	defer cancel()
	start := time.Now()
	b, err := f.readTailOf(ctx, addr, from, wait)
	f.Metrics.countRead(f.Name, sourceRelay, b.Records, time.Since(start), err)
	if err != nil {
		f.delayRelay(addr)
		f.Logger.Debug("relay can't serve a read", "log", f.Name, "relay", addr, "from", from, "error", err)
	}
	return b, err
}

func (f *FallbackLog) readTailOf(ctx context.Context, addr string, from model.Offset, wait time.Duration) (journaler.Batch, error) {
	params := readParams{Log: f.Name, From: from, WaitMS: model.Millis(wait.Milliseconds()), Tail: tailOnly}
	sentAt := time.Now()
	resp, err := f.Peers.callPeer(ctx, addr, methodRead, params)
	if err != nil {
		return journaler.Batch{}, err
	}
	return resp.batch(sentAt)
}

// pickRelay returns the first relay that has not failed recently.
func (f *FallbackLog) pickRelay() (addr string, ok bool) {
	relays := f.relays()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	i := slices.IndexFunc(relays, func(addr string) bool { return now.After(f.relayRetryAt[addr]) && !f.Peers.inBackoff(addr) })
	if i < 0 {
		return "", false
	}
	return relays[i], true
}

// canRelay reports whether this host gets records without the hosts that may read through it. While its direct connection is down
// it reads through any other host, also through one that waits for its own records here.
func (f *FallbackLog) canRelay() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.canRelayLocked()
}

func (f *FallbackLog) canRelayLocked() bool { return !f.directDown || f.throughRelay }

// readForGroup serves a read of a host of the group from the tail, until this host can't relay any more.
func (f *FallbackLog) readForGroup(ctx context.Context, from model.Offset, wait time.Duration) (journaler.Batch, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	if f.groupReads == nil {
		f.groupReads = map[*context.CancelFunc]struct{}{}
	}
	canRelay := f.canRelayLocked()
	f.groupReads[&cancel] = struct{}{}
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.groupReads, &cancel)
	}()
	if canRelay {
		if b, ok := f.tail.read(ctx, from, wait); ok {
			return b, nil
		}
	}
	return journaler.Batch{}, errLogNotReached
}

// endGroupReads ends the reads of the group that wait if this host can't relay any more. The caller holds f.mu.
func (f *FallbackLog) endGroupReads() {
	if f.canRelayLocked() {
		return
	}
	for cancel := range f.groupReads {
		(*cancel)()
	}
}

// delayRelay keeps this host from reading through a relay for a while.
func (f *FallbackLog) delayRelay(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.relayRetryAt == nil {
		f.relayRetryAt = map[string]time.Time{}
	}
	f.relayRetryAt[addr] = time.Now().Add(peerBackoff)
}

// remainingWait returns the part of wait that still fits into the deadline of ctx.
func remainingWait(ctx context.Context, wait time.Duration) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(deadline)-directResponseReserve)
	}
	return max(wait, 0)
}
