package peerclient

import (
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Options configure both sides; zero values mean the defaults.
type Options struct {
	Host       model.HostID  // this host
	Secret     string        // shared by all entry hosts; empty means that none is asked for
	MaxMessage int           // bytes of one message, default 32 MiB
	Timeout    time.Duration // of calls without an earlier deadline, and of the hello, default 2 s
	MaxCalls   int           // calls that a server handles at once per connection, default 64
	BackoffMin time.Duration // after a failed connection, doubling, default 100 ms
	BackoffMax time.Duration // default 2 s
}

func (o Options) withDefaults() Options {
	if o.MaxMessage == 0 {
		o.MaxMessage = 32 << 20
	}
	if o.Timeout == 0 {
		o.Timeout = 2 * time.Second
	}
	if o.MaxCalls == 0 {
		o.MaxCalls = 64
	}
	if o.BackoffMin == 0 {
		o.BackoffMin = 100 * time.Millisecond
	}
	if o.BackoffMax == 0 {
		o.BackoffMax = 2 * time.Second
	}
	return o
}
