package router

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/asserter"
	"chestnutmux.example/chestnutmux/internal/hostclient"
)

// Guards against violations that are not reported, and against reports of sends that a stale host list explains. The test
// bypasses chooseRunner and takeRetry, which normally prevent such sends.
func TestCheckSend(t *testing.T) {
	is := is.New(t)
	var a asserter.Asserter
	f := newFixture(Options{Hooks: Hooks{OnViolation: a.RecordViolation}})
	host := runnerAt("a", "d1", "r1")
	host.State = hostclient.StateLeaving
	f.setRunners([]hostclient.Host{host}, f.now)
	c := f.submitNew("x", false, time.Minute) // is queued, because the only runner is leaving
	s := f.services["s"]
	s.queue.Remove(c.entry)
	is.True(f.checkSend(c, s.runners["a"], f.now.Add(leavingGrace)))
	is.Equal(a.ViolationCounts(), map[string]int64{})
	is.True(f.checkSend(c, s.runners["a"], f.now.Add(leavingGrace+1)))
	is.Equal(a.ViolationCounts()["sent-to-leaving-host"], int64(1))

	c.mayHaveSent = true // simulates a failure of the check in takeRetry
	f.startAttempt(c, s.runners["a"], f.now)
	is.Equal(a.ViolationCounts()["repeated-send"], int64(1))
	is.Equal(f.inFlight, 0) // the request was not sent
	is.True((<-c.results).err != nil)
	is.Equal(len(f.runnerStatuses()), 1)
	is.True(f.runnerStatuses()[0].Leaving)
}
