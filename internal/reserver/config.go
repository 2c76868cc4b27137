package reserver

import (
	"math/rand/v2"
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Config holds the identity and the bounds of a Reserver; zero durations mean the defaults.
type Config struct {
	Host       model.HostID
	Domain     model.DomainID
	Poll       time.Duration // between two batches to an idle worker, default 1 s
	TaskLease  time.Duration // a task outlives its planner's authority by at most this, default 20 s
	ReserveTTL time.Duration // default 2 s
	Checkpoint time.Duration // bound on saving state before a stop, default 1 s
	Call       time.Duration // longest time from a batch's decision to its answer, default 1 s
	ClockSkew  time.Duration // between this host's clock and the clock of acceptance times, default 1 s
	RetryMin   time.Duration // back-off after a refusal or a failed send doubles from here, default 100 ms
	RetryMax   time.Duration // longest back-off after refusals, default 5 s
	Rand       *rand.Rand    // for jitter; nil means a fixed seed
}

func (c Config) withDefaults() Config {
	for _, d := range []struct {
		v   *time.Duration
		def time.Duration
	}{
		{&c.Poll, time.Second},
		{&c.TaskLease, 20 * time.Second},
		{&c.ReserveTTL, 2 * time.Second},
		{&c.Checkpoint, time.Second},
		{&c.Call, time.Second},
		{&c.ClockSkew, time.Second},
		{&c.RetryMin, 100 * time.Millisecond},
		{&c.RetryMax, 5 * time.Second},
	} {
		if *d.v == 0 {
			*d.v = d.def
		}
	}
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(1, 1))
	}
	return c
}
