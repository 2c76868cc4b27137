package coordinator

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/dispatcher"
	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// measure sets the handicap by the distance to the log.
func (c *Coordinator) measure(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	began := time.Now()
	_, err := c.cfg.Log.ReadNewest(ctx, "")
	if err == nil {
		began = time.Now()
		_, err = c.cfg.Log.ReadNewest(ctx, "")
	}
	rtt := time.Since(began)
	c.mu.Lock()
	c.elector.ElectionDelay = handicapPerRoundTrip*rtt + rand.N(handicapJitter)
	c.mu.Unlock()
	c.cfg.Logger.Info("distance to the log measured", "round-trip-ms", float64(rtt.Microseconds())/1000, "error", err)
}

// awaitTurn returns when the host should stand or something has changed.
func (c *Coordinator) awaitTurn(ctx context.Context) {
	c.mu.Lock()
	at, ok := c.elector.NextElection()
	idle := c.leading != nil || c.resigned || !c.loaded
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
	case <-c.poke:
	case <-t.C:
	}
}

func (c *Coordinator) mayStand() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.elector.NextElection()
	if c.cfg.DirectLogDown != nil && c.cfg.DirectLogDown() {
		return false // a host near the log serves better
	}
	return ok && c.leading == nil && !c.resigned && c.loaded && !time.Now().Before(at)
}

// stand writes a term into the log; the host leads once it reads its own term there.
func (c *Coordinator) stand(ctx context.Context) {
	old, _ := c.fold.Term()
	next := c.fold.NextOffset()
	t := journaler.Term{Fence: old.Fence + 1, Host: c.cfg.Host, Nonce: c.nonce, FirstSeq: rand.Int64N(seqRange), Load: old.Load}
	r, err := journaler.NewTermRecord(t)
	if err != nil {
		c.cfg.Logger.Error("the term can't be written", "error", err)
		return
	}
	actx, cancel := context.WithTimeout(ctx, standTimeout)
	_, err = c.cfg.Log.Append(actx, []journaler.Record{r}, journaler.AppendCondition{
		ExpectedEnd: &next, Writer: &journaler.Writer{Name: dispatcher.LeaderWriterName, Epoch: t.Fence, Seq: t.FirstSeq},
	})
	cancel()
	c.cfg.Logger.Info("stood for leader", "fence", t.Fence, "at", next, "former", old.Host, "error", err)
	var moved *journaler.OffsetMismatchError
	c.mu.Lock()
	if errors.As(err, &moved) {
		// New records came first; the election goes on unless one of them is a term.
		c.mu.Unlock()
		c.awaitRead(ctx, moved.EndOffset)
		return
	}
	c.elector.ResetTimeout(time.Now().Add(lostPause))
	c.mu.Unlock()
}

// awaitRead waits briefly until the fold has reached an offset.
func (c *Coordinator) awaitRead(ctx context.Context, end model.Offset) {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	for c.fold.NextOffset() < end {
		c.mu.Lock()
		wait := c.advanced
		c.mu.Unlock()
		if c.fold.NextOffset() >= end {
			return
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return
		}
	}
}

// Resign gives up the lead, so that another host takes over at once, and stands no more.
func (c *Coordinator) Resign(ctx context.Context) {
	c.mu.Lock()
	c.resigned = true
	l := c.leading
	c.mu.Unlock()
	if l == nil {
		return
	}
	l.d.Resign()
	select {
	case <-l.done:
	case <-ctx.Done():
		l.cancel()
	}
}
