package router

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/asserter"
	"chestnutmux.example/chestnutmux/internal/hostclient"
)

// Guards against sends that break the rules unnoticed, and against alarms for sends that a stale host list explains.
// The calls go past the choice of the runner, which prevents them otherwise.
func TestSendsAreInspected(t *testing.T) {
	is := is.New(t)
	var a asserter.Asserter
	b := newBench(Options{Hooks: Hooks{OnViolation: a.RecordViolation}})
	host := runnerAt("a", "d1", "r1")
	host.State = hostclient.StateLeaving
	b.setRunners([]hostclient.Host{host}, b.now)
	c := b.add("x", false, time.Minute) // waits: no runner is free
	s := b.services["s"]
	s.queue.Remove(c.entry)
	is.True(b.inspect(c, s.runners["a"], b.now.Add(leavingGrace)))
	is.Equal(a.ViolationCounts(), map[string]int64{})
	is.True(b.inspect(c, s.runners["a"], b.now.Add(leavingGrace+1)))
	is.Equal(a.ViolationCounts()["sent-to-leaving-host"], int64(1))

	c.written = true // as if the rule of mayRetry were off
	b.send(c, s.runners["a"], b.now)
	is.Equal(a.ViolationCounts()["repeated-send"], int64(1))
	is.Equal(b.inFlight, 0) // it was not sent
	is.True((<-c.reply).err != nil)
	is.Equal(len(b.runners()), 1)
	is.True(b.runners()[0].Leaving)
}
