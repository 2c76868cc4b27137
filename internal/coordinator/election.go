package coordinator

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/dispatcher"
	"chestnutmux.example/chestnutmux/internal/elector"
	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/internal/pacer"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// processorDelay returns the election delay of a host for the number of processors that it can use; 0 means unknown. A leader with
// too little processor time does not renew its term in time, and the next one is elected.
func processorDelay(processors float64) time.Duration {
	if processors <= 0 || processors >= leaderProcessors {
		return 0
	}
	return time.Duration((1 - processors/leaderProcessors) * float64(maxProcessorDelay))
}

// linkDelay returns the election delay of a host for the rate of its link; 0 means unknown. A leader with a slow link starts tasks as
// slowly.
func linkDelay(rate pacer.BytesPerSecond) time.Duration {
	if rate <= 0 || rate >= leaderLinkRate {
		return 0
	}
	return time.Duration(float64(1-rate/leaderLinkRate) * float64(maxLinkDelay))
}

// measureLogRoundTrip sets the election delay according to the round-trip time to the log. It measures the second call,
// because the first one opens the connection. If the first call fails, it measures the time until the failure.
func (c *Coordinator) measureLogRoundTrip(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	rtt, err := c.callLog(ctx)
	if err == nil {
		rtt, err = c.callLog(ctx)
	}
	c.setRoundTrip(rtt)
	c.cfg.Logger.Info("log round-trip measurement finished", "round-trip-ms", float64(rtt.Microseconds())/1000, "error", err)
}

// repeatRoundTripMeasurement lowers the election delay if a later call to the log is faster. When many hosts start at once, the first
// calls wait for each other.
func (c *Coordinator) repeatRoundTripMeasurement(ctx context.Context) {
	for range roundTripRepeats {
		select {
		case <-ctx.Done():
			return
		case <-time.After(roundTripInterval + rand.N(roundTripInterval)):
		}
		callCtx, cancel := context.WithTimeout(ctx, catchUpTimeout)
		rtt, err := c.callLog(callCtx)
		cancel()
		if err == nil {
			c.setRoundTrip(rtt)
		}
	}
}

// callLog calls the log without transferring records and returns how long that took.
func (c *Coordinator) callLog(ctx context.Context) (time.Duration, error) {
	start := time.Now()
	_, err := c.cfg.Log.ReadNewest(ctx, journaler.KeyAfterAll)
	return time.Since(start), err
}

// setRoundTrip sets the election delay for a measured round-trip time if it is the shortest so far.
func (c *Coordinator) setRoundTrip(rtt time.Duration) {
	delay := electionDelayPerRoundTrip*rtt + rand.N(electionDelayJitter)
	c.mu.Lock()
	if c.networkDelay == 0 || delay < c.networkDelay {
		c.networkDelay = delay
	}
	c.elector.ElectionDelay = c.electionDelayLocked(time.Now())
	c.mu.Unlock()
	c.wake()
}

// electionDelayLocked returns the election delay of this host, which depends on the size of the fleet. The caller holds c.mu.
func (c *Coordinator) electionDelayLocked(now time.Time) time.Duration {
	memory := elector.MemoryDelay(c.cfg.MemoryLimit, len(c.replica.Fleet()))
	delay := c.networkDelay + max(processorDelay(c.cfg.Processors), linkDelay(c.cfg.LinkRate), memory)
	if c.memory.guard.IsLastResort(now) {
		delay += elector.LastResortDelay
	}
	return delay
}

// awaitElection waits until the next election is due or the election state may have changed.
func (c *Coordinator) awaitElection(ctx context.Context) {
	c.mu.Lock()
	at, ok := c.elector.NextElection()
	idle := c.ownTerm != nil || c.resigned || !c.loaded
	c.mu.Unlock()
	d := time.Hour
	if ok && !idle {
		d = time.Until(at)
	}
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-c.wakeup:
	case <-t.C:
	}
}

// canStartElection reports whether an election is due in which this host can be a candidate.
func (c *Coordinator) canStartElection() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.elector.NextElection()
	if c.cfg.DirectLogDown != nil && c.cfg.DirectLogDown() {
		return false // a host that reaches the log directly is a better leader
	}
	return ok && c.ownTerm == nil && !c.resigned && c.loaded && !time.Now().Before(at)
}

// startElection appends a new term of this host to the log. The host becomes leader once it reads this term from the log.
func (c *Coordinator) startElection(ctx context.Context) {
	previous, next, ok := c.electionBasis(time.Now())
	if !ok {
		return
	}
	t := journaler.Term{Fence: previous.Fence + 1, Host: c.cfg.Host, Nonce: c.nonce, FirstSeq: rand.Int64N(firstSeqRange), Load: previous.Load}
	r, err := journaler.NewTermRecord(t)
	if err != nil {
		c.cfg.Logger.Error("cannot encode the term record", "error", err)
		return
	}
	c.recordCandidacy(t)
	appendCtx, cancel := context.WithTimeout(ctx, termAppendTimeout)
	_, err = c.cfg.Log.Append(appendCtx, []journaler.Record{r}, journaler.AppendCondition{
		ExpectedEnd: &next, Writer: &journaler.Writer{Name: dispatcher.LeaderWriterName, Epoch: t.Fence, Seq: t.FirstSeq},
	})
	cancel()
	m := c.LeaderMemory()
	c.cfg.Logger.Info("attempted to become leader", "fence", t.Fence, "at", next, "former", previous.Host, "error", err,
		"election-delay-ms", m.DelayMS, "resident-mb", m.Resident>>20, "expected-mb", m.Expected>>20, "limit-mb", m.Limit>>20)
	var mismatch *journaler.OffsetMismatchError
	c.mu.Lock()
	if errors.As(err, &mismatch) {
		// The log has records that this host had not read. The election stays due unless leaders have written one of them.
		c.mu.Unlock()
		c.awaitOffset(ctx, mismatch.EndOffset)
		return
	}
	c.elector.ResetTimeout(time.Now().Add(lostElectionDelay))
	c.mu.Unlock()
}

// electionBasis returns the term to replace and the end of the log as far as this host has read it; ok is false if a record up to
// there shows that no election is due. The replica may be ahead of the elector.
func (c *Coordinator) electionBasis(now time.Time) (previous journaler.Term, next model.Offset, ok bool) {
	next = c.replica.NextOffset()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateElectorLocked(now)
	at, ok := c.elector.NextElection()
	previous, _ = c.replica.Term()
	return previous, next, ok && !now.Before(at)
}

// recordCandidacy notes when the append of a term was sent. An append without a response may take effect seconds later.
func (c *Coordinator) recordCandidacy(t journaler.Term) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(c.candidacies, func(_ int64, sentAt time.Time) bool { return now.Sub(sentAt) > candidacyRetention })
	c.candidacies[t.FirstSeq] = now
}

// awaitOffset waits up to catchUpTimeout until the replica has applied all records before the offset end.
func (c *Coordinator) awaitOffset(ctx context.Context, end model.Offset) {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	for c.replica.NextOffset() < end {
		c.mu.Lock()
		readDone := c.readDone
		c.mu.Unlock()
		if c.replica.NextOffset() >= end {
			return
		}
		select {
		case <-readDone:
		case <-ctx.Done():
			return
		}
	}
}

// Resign ends this host's term, so that another host takes over at once, and keeps this host out of later elections. It
// returns when the term has ended or the context ends.
func (c *Coordinator) Resign(ctx context.Context) {
	c.mu.Lock()
	c.resigned = true
	own := c.ownTerm
	c.mu.Unlock()
	if own == nil {
		return
	}
	own.dispatcher.Resign("")
	select {
	case <-own.done:
	case <-ctx.Done():
		own.cancel()
	}
}
