package watchdog

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a large transfer that is cut off although data arrives, and against a stalled one that is not.
func TestTransferEndsWhenItStalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		observed := 0
		ctx := Observe(t.Context(), func(time.Time) { observed++ })
		outer, cancelOuter := WithLimits(ctx, Limits{Start: 300 * time.Millisecond, Stall: 200 * time.Millisecond, Total: time.Minute})
		defer cancelOuter()
		inner, cancel := WithLimits(outer, Limits{Start: 100 * time.Millisecond, Stall: 150 * time.Millisecond, Total: time.Minute})
		defer cancel()
		for range 50 {
			time.Sleep(90 * time.Millisecond)
			Progress(inner)
		}
		synctest.Wait()
		is.NoErr(inner.Err())
		is.NoErr(outer.Err())
		is.Equal(observed, 50)
		start := time.Now()
		<-inner.Done()
		is.Equal(time.Since(start), 150*time.Millisecond)
		is.Equal(inner.Err(), context.DeadlineExceeded)
		<-outer.Done()
		is.Equal(time.Since(start), 200*time.Millisecond)
	})
}

// Guards against a transfer that goes on forever because a few bytes arrive now and then.
func TestTransferHasTotalLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := WithLimits(t.Context(), Limits{Start: 100 * time.Millisecond, Stall: 100 * time.Millisecond, Total: time.Second})
		defer cancel()
		start := time.Now()
		for ctx.Err() == nil {
			time.Sleep(50 * time.Millisecond)
			Progress(ctx)
			synctest.Wait()
		}
		is.Equal(time.Since(start), time.Second)
	})
}

// Guards against a context that outlives its caller, or that reports a caller who gave up as a stalled transfer.
func TestTransferEndsWithItsCaller(t *testing.T) {
	is := is.New(t)
	parent, giveUp := context.WithCancel(t.Context())
	ctx, cancel := WithLimits(parent, Limits{Start: time.Minute})
	defer cancel()
	giveUp()
	<-ctx.Done()
	is.Equal(ctx.Err(), context.Canceled)
	child, cancelChild := context.WithTimeout(ctx, time.Minute)
	defer cancelChild()
	is.Equal(child.Err(), context.Canceled)
}

// Guards against a data race, and a crash, when the time of a transfer is over at once.
func TestTransferWithoutTime(t *testing.T) {
	for range 1000 {
		ctx, cancel := WithLimits(t.Context(), Limits{})
		<-ctx.Done()
		cancel()
	}
}
