package sequencer

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against late work that delays work which could still be in time, and against expired work ahead of useful work.
func TestUsefulness(t *testing.T) {
	now := time.Now()
	at := func(s int) time.Time { return now.Add(time.Duration(s) * time.Second) }
	for name, test := range map[string]struct {
		promise   Deadlines
		remaining time.Duration
		want      Usefulness
	}{
		"no target":             {Deadlines{}, time.Hour, InTime},
		"just in time":          {Deadlines{at(10), at(30)}, 10 * time.Second, InTime},
		"late":                  {Deadlines{at(10), at(30)}, 11 * time.Second, Late},
		"expired":               {Deadlines{at(10), at(30)}, 31 * time.Second, Expired},
		"unknown run time":      {Deadlines{at(10), at(30)}, 0, InTime},
		"unknown, target past":  {Deadlines{at(-1), at(30)}, 0, Late},
		"unknown, past all use": {Deadlines{at(-30), at(-1)}, 0, Expired},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(test.promise.Usefulness(now, test.remaining), test.want) })
	}
}

// Guards against late or expired work ahead of more useful work.
func TestCompare(t *testing.T) {
	is := is.New(t)
	want := []Usefulness{InTime, Late, Expired}
	got := slices.Clone(want)
	slices.Reverse(got)
	slices.SortFunc(got, Compare)
	is.Equal(got, want)
	is.Equal(Compare("", InTime), 0)
}

// Guards against a job that becomes more useful by waiting, or less useful by a shorter run time.
func TestUsefulnessFallsWithTime(t *testing.T) {
	now := time.Now()
	rapid.Check(t, func(t *rapid.T) {
		seconds := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 100).Draw(t, name)) * time.Second
		}
		target := now.Add(seconds("target"))
		p := Deadlines{TargetAt: target, ExpiresAt: target.Add(seconds("use"))}
		wait, run, more := seconds("wait"), seconds("run"), seconds("more")
		u := p.Usefulness(now.Add(wait), run).place()
		if p.Usefulness(now.Add(wait+more), run).place() < u || p.Usefulness(now.Add(wait), run+more).place() < u {
			t.Fatal("more useful although it ends later")
		}
	})
}

// Guards against an order by estimates that are wrong by ten times either way, and against one outlier that spoils good ones.
func TestAccuracy(t *testing.T) {
	for name, test := range map[string]struct {
		took     func(i int) time.Duration
		reliable bool
		tooLow   bool
	}{
		"true":          {func(int) time.Duration { return 2 * time.Second }, true, false},
		"slow worker":   {func(int) time.Duration { return 3 * time.Second }, true, false},
		"ten times":     {func(int) time.Duration { return 20 * time.Second }, false, true},
		"a tenth":       {func(int) time.Duration { return 200 * time.Millisecond }, false, false},
		"3 of 100 long": {func(i int) time.Duration { return time.Duration(2+12*((i%33)/32)) * time.Second }, true, false},
		"half wrong":    {func(i int) time.Duration { return time.Duration(2+18*(i%2)) * time.Second }, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var a Accuracy
			is.True(a.IsReliable())
			for i := range 100 {
				a.Observe(2*time.Second, test.took(i))
			}
			is.Equal(a.IsReliable(), test.reliable)
			is.Equal(a.IsTooLow(), test.tooLow)
			for range 100 {
				a.Observe(2*time.Second, 2*time.Second)
			}
			is.True(a.IsReliable()) // estimates that have become right count again
		})
	}
}
