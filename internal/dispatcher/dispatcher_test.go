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

// newDispatcher returns an initialized dispatcher whose workers do not respond. A violated invariant fails the test.
func newDispatcher(t *testing.T) *Dispatcher {
	t.Helper()
	d := &Dispatcher{
		// The log confirms the term during the whole test.
		Term: journaler.Term{Fence: 1}, ElectedAt: time.Now().Add(time.Hour), Workers: unresponsiveClient{}, Logger: hclog.NewNullLogger(), Metrics: NewMetrics(), LeaseDuration: time.Hour,
		OnViolation: func(inv asserter.Invariant, args ...any) { t.Error(inv, args) }, formerRunsKnown: true,
	}
	d.Init()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	d.ctx = ctx
	return d
}

// Guards against a leader that runs scheduling passes without a pause. On a large fleet, its calls to workers then time out.
func TestPassesAreSpacedOut(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.journal.nextRenewalAt = f.later(10_000)
	is.True(!f.nextWakeup().After(f.now)) // a change is pending
	f.runPassIfDue(f.now)
	is.True(f.scheduleUpToDate)
	f.scheduleUpToDate = false
	f.nextPassAt = f.later(40)
	f.runPassIfDue(f.later(30))
	is.True(!f.scheduleUpToDate)
	is.Equal(f.nextWakeup(), f.later(40))
	f.runPassIfDue(f.later(40))
	is.True(f.scheduleUpToDate)
	f.scheduleUpToDate = true
	f.runPassIfDue(f.later(41))
	is.Equal(f.lastPassAt, f.later(40)) // no change is pending
	f.runPassIfDue(f.later(40).Add(maxPassInterval))
	is.Equal(f.lastPassAt, f.later(40).Add(maxPassInterval)) // leases and deadlines are checked
}
