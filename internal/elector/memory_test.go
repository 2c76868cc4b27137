package elector

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Guards against small hosts that lead a large fleet, and against a delay of hosts that have enough memory for theirs.
func TestMemoryDelay(t *testing.T) {
	is := is.New(t)
	is.Equal(MemoryDelay(0, 350), time.Duration(0)) // unknown
	is.Equal(MemoryDelay(536, 350), time.Duration(0))
	is.True(MemoryDelay(184, 350) > maxMemoryDelay/2)
	is.True(MemoryDelay(536, 8800) < MemoryDelay(184, 8800))
	is.True(MemoryDelay(184, 30) < MemoryDelay(184, 350))
	last := maxMemoryDelay
	for limit := model.Megabytes(150); limit < 600; limit += 10 {
		d := MemoryDelay(limit, 1000)
		is.True(d <= last)
		last = d
	}
}

// Guards against a leader that resigns for garbage, for a short peak, again and again or in favour of no better host, and against one that stays until it is killed.
func TestMemoryGuard(t *testing.T) {
	is := is.New(t)
	const limit = 200
	use := func(resident, needed model.Bytes) float64 {
		return MemoryUse{Resident: resident << 20, Needed: needed << 20, Soft: 140 << 20}.Pressure(limit)
	}
	now := time.Unix(1000, 0)
	g := &MemoryGuard{}
	check := func(pressure float64, better bool, after time.Duration) MemoryVerdict {
		now = now.Add(after)
		return g.Check(pressure, better, now)
	}
	is.Equal(check(use(170, 60), true, time.Minute), MemoryOK) // garbage up to the soft limit
	is.Equal(check(use(170, 60), true, time.Minute), MemoryOK)
	is.Equal(check(use(190, 60), true, time.Second), MemoryOK)
	is.Equal(check(use(120, 60), true, time.Second), MemoryOK) // the peak is over
	is.Equal(check(use(160, 130), true, time.Second), MemoryOK)
	is.Equal(check(use(160, 120), true, pressureTime/2), MemoryOK) // between the bounds
	is.Equal(check(use(160, 120), false, pressureTime/2), MemoryNoBetter)
	is.Equal(check(use(160, 130), true, time.Second), MemoryResign)
	is.True(g.IsLastResort(now))
	is.Equal(check(use(190, 130), true, time.Second), MemoryOK)
	is.Equal(check(use(190, 130), true, time.Minute), MemoryTooSoon)
	is.Equal(check(use(190, 130), true, resignInterval), MemoryResign)
	other := &MemoryGuard{}
	other.RecordResignation(now)
	is.Equal(other.Check(1, true, now), MemoryOK)
	is.Equal(other.Check(1, true, now.Add(time.Minute)), MemoryTooSoon) // another host has resigned
	is.True(!other.IsLastResort(now.Add(time.Minute)))
	is.True(!IsBetterHost(184, 0))
	is.True(!IsBetterHost(184, 200))
	is.True(IsBetterHost(184, 284))
}

// Guards against a leader that resigns at a pressure which is not high, because the pressure was high in a former term of its host.
func TestPressureOfFormerTermDoesNotCount(t *testing.T) {
	is := is.New(t)
	var g MemoryGuard
	now := time.Now()
	is.Equal(g.Check(0.95, true, now), MemoryOK)
	g.EndTerm()
	now = now.Add(time.Hour)
	is.Equal(g.Check(0.8, true, now), MemoryOK)
	is.Equal(g.Check(0.8, true, now.Add(pressureTime)), MemoryOK)
	is.Equal(g.Check(0.95, true, now.Add(pressureTime)), MemoryOK)
	is.Equal(g.Check(0.95, true, now.Add(2*pressureTime)), MemoryResign)
}
