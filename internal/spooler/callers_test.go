package spooler

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/fake/log"
	"chestnutmux.example/chestnutmux/internal/journaler"
)

// target is the target offset of batch gangs.
const target = 1200 * time.Millisecond

// acceptFunc is a way in which hosts serve submissions.
type acceptFunc func(ctx context.Context, h *host, sub *Submission) error

// host is a host with its own connection to the log.
type host struct {
	log      *testLog
	spooler  *Spooler
	appender *journaler.BatchAppender
	// alwaysReady says that the host is ready even if it is isolated.
	alwaysReady bool
}

// waitShortly is the way without a spooler: it waits up to 400 ms for the log, and refuses for 2 s or, after a refused append, for 1 s.
func waitShortly(ctx context.Context, h *host, sub *Submission) error {
	for start := time.Now(); !h.log.view().DownSince.IsZero(); time.Sleep(checkInterval) {
		if time.Since(start) >= 400*time.Millisecond {
			return &Refusal{RetryAfter: 2 * time.Second}
		}
	}
	err := h.appender.Append(ctx, sub.Record)
	if errors.Is(err, journaler.ErrNotAppended) {
		return &Refusal{RetryAfter: time.Second}
	}
	return err
}

func spool(ctx context.Context, h *host, sub *Submission) error { return h.spooler.Append(ctx, sub) }

// callerResults sums up what the callers of a scenario get.
type callerResults struct {
	callers, accepted int
	worth             float64       // 1 for an acceptance within the target, falling to 0 at three times the target
	refusals, unknown int           // answers other than accepted
	wait              time.Duration // from the first call to the acceptance, at most 20 s, in the mean
}

// pickHost returns a random host that the balancer does not know to be unready; it learns that within 2 s.
func pickHost(rng *rand.Rand, hosts []*host) *host {
	var ready []*host
	for _, h := range hosts {
		if Ready(h.log.view(), time.Now().Add(-2*time.Second)) || h.alwaysReady {
			ready = append(ready, h)
		}
	}
	return ready[rng.IntN(len(ready))]
}

// callFrom submits a job at random hosts, as a caller does that repeats a call up to 4 times.
func callFrom(rng *rand.Rand, hosts []*host, key string, serve acceptFunc) (r callerResults) {
	start := time.Now()
	r = callerResults{callers: 1, wait: 20 * time.Second}
	for range 5 {
		h := pickHost(rng, hosts)
		ctx, cancel := context.WithTimeout(context.Background(), callTime)
		err := serve(ctx, h, h.log.submission(key, 1))
		cancel()
		var refusal *Refusal
		switch {
		case err == nil:
			r.accepted, r.wait = 1, min(time.Since(start), r.wait)
			r.worth = min(max(float64(3*target-r.wait)/float64(2*target), 0), 1)
			return r
		case errors.As(err, &refusal):
			r.refusals++
			time.Sleep((refusal.RetryAfter + time.Second - 1).Truncate(time.Second)) // the header has whole seconds
		default:
			r.unknown++
			time.Sleep(time.Second)
		}
	}
	return r
}

// play plays a scenario in which a caller comes every 50 ms for 12 s, and returns what they get.
func play(t *testing.T, scenario func(host int) *testLog, serve acceptFunc, alwaysReady bool) (sum callerResults) {
	synctest.Test(t, func(t *testing.T) {
		shared := log.New(log.Options{})
		var hosts []*host
		for i := range 6 {
			l := scenario(i)
			l.Log = shared
			hosts = append(hosts, &host{log: l, spooler: &Spooler{Log: l, View: l.view}, appender: &journaler.BatchAppender{Log: l}, alwaysReady: alwaysReady})
		}
		var mu sync.Mutex
		var calls sync.WaitGroup
		for i := range 240 {
			calls.Go(func() {
				r := callFrom(rand.New(rand.NewPCG(uint64(i), 2)), hosts, fmt.Sprint("j", i), serve)
				mu.Lock()
				defer mu.Unlock()
				sum.callers += r.callers
				sum.accepted += r.accepted
				sum.worth += r.worth
				sum.refusals += r.refusals
				sum.unknown += r.unknown
				sum.wait += r.wait
			})
			time.Sleep(50 * time.Millisecond)
		}
		calls.Wait()
		time.Sleep(time.Minute)
		sum.wait /= time.Duration(sum.callers)
	})
	return sum
}

// Guards against a decision by which callers are served worse than by a short wait for the log and a refusal.
func TestCallersAreServedBetterThanWithoutSpooler(t *testing.T) {
	all := func(f func(time.Duration) log.CallFault) func(int) *testLog {
		return func(int) *testLog { return newTestLog(f) }
	}
	scenarios := map[string]func(host int) *testLog{
		"unavailable for 2 s":  all(during(2*time.Second, log.FaultUnavailable)),
		"unavailable for 6 s":  all(during(6*time.Second, log.FaultUnavailable)),
		"unavailable for 40 s": all(during(40*time.Second, log.FaultUnavailable)),
		"silent for 6 s":       all(during(6*time.Second, log.FaultRequestLost)),
		"answers lost for 6 s": all(during(6*time.Second, log.FaultResponseLost)),
		"one answer lost a second": all(func(age time.Duration) log.CallFault {
			if age%time.Second < 20*time.Millisecond {
				return log.FaultResponseLost
			}
			return log.NoFault
		}),
		"half of the hosts isolated": func(host int) *testLog {
			if host%2 == 0 {
				l := newTestLog(during(6*time.Second, log.FaultUnavailable))
				l.peers = PeerView{Silent: 3}
				return l
			}
			return newTestLog(during(0, ""))
		},
		"slow": func(int) *testLog {
			l := newTestLog(during(0, ""))
			l.delay = 600 * time.Millisecond
			return l
		},
	}
	for name, scenario := range scenarios {
		t.Run(name, func(t *testing.T) {
			before, after := play(t, scenario, waitShortly, true), play(t, scenario, spool, false)
			t.Logf("before %+v", before)
			t.Logf("after  %+v", after)
			if after.accepted < before.accepted || after.worth < before.worth || after.wait > before.wait {
				t.Errorf("callers are served worse: %+v, before %+v", after, before)
			}
		})
	}
}
