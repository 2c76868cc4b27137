package dispatcher

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/asserter"
	"chestnutmux.example/chestnutmux/internal/journaler"
)

// newDispatcher returns an open dispatcher whose workers answer nothing; a violated invariant fails the test.
func newDispatcher(t *testing.T) *Dispatcher {
	t.Helper()
	d := &Dispatcher{
		Term: journaler.Term{Fence: 1}, Workers: silent{}, Logger: hclog.NewNullLogger(), Metrics: NewMetrics(), LeaseDuration: time.Hour,
		OnViolation: func(inv asserter.Invariant, args ...any) { t.Error(inv, args) }, settled: true,
	}
	d.Init()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	d.ctx = ctx
	return d
}

// Guards against a leader that plans all the time: on a large fleet its calls to workers then time out.
func TestPauseBetweenPasses(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.journal.renewAt = f.after(10_000)
	is.True(!f.nextAt().After(f.now)) // a change is waiting
	f.look(f.now)
	is.True(f.planned)
	f.planned = false
	f.lookAt = f.after(40)
	f.look(f.after(30))
	is.True(!f.planned)
	is.Equal(f.nextAt(), f.after(40))
	f.look(f.after(40))
	is.True(f.planned)
	f.planned = true
	f.look(f.after(41))
	is.Equal(f.lookedAt, f.after(40)) // nothing has changed
	f.look(f.after(40).Add(tick))
	is.Equal(f.lookedAt, f.after(40).Add(tick)) // leases and deadlines
}
