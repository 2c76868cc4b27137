// Command 1 shows that a runner that could not be reached for some seconds is never used again.
package main

import (
	"time"

	"chestnutmux.example/chestnutmux/review/standin"
)

const (
	cutTime     = 5500 * time.Millisecond // the longest cut of runners on the site
	taskTime    = 2500 * time.Millisecond
	contactTime = 4 * time.Second
	finishTime  = 14 * time.Second // the bound finish_s
	idleLimit   = 3 * time.Second  // time of the rule LOST
	watchTime   = 60 * time.Second
)

func main() { standin.Main(check) }

func check(d *standin.Deployment) (string, error) {
	room := standin.Room{CPU: 32000, MemMB: 131072, GPU: 8}
	d.Configure(1, 3, 0)
	if _, err := d.AddRunners(11, "kartli-a", "a", room, 4); err != nil {
		return "", err
	}
	special, err := d.AddRunners(1, "kartli-a", "b", room, 4)
	if err != nil {
		return "", err
	}
	if err := d.AddEntries(2); err != nil {
		return "", err
	}
	time.Sleep(contactTime)
	cutAt := time.Now()
	if d.Trouble {
		special[0].CutWithReset()
	}
	time.Sleep(time.Second)
	need := standin.Room{CPU: 3700, MemMB: 11000, GPU: 1}
	submit := func() (string, error) {
		return d.Submit(standin.Work{Duration: taskTime, Need: need}, map[string]any{
			"count": 2, "cpu": need.CPU, "mem_mb": need.MemMB, "gpu": need.GPU, "est_runtime_ms": taskTime.Milliseconds(), "constraints": "b",
		})
	}
	first, err := submit()
	if err != nil {
		return "", err
	}
	time.Sleep(time.Until(cutAt.Add(cutTime)))
	if d.Trouble {
		if err := special[0].Heal(); err != nil {
			return "", err
		}
	}
	// The disruption is over. A second job comes when no disruption is near any more.
	time.Sleep(contactTime + time.Second)
	second, err := submit()
	if err != nil {
		return "", err
	}
	lastSentAt := time.Now()
	broken, err := d.WatchIdle(second, lastSentAt.Add(finishTime), watchTime, idleLimit)
	d.Record.Printf("state of the first job %s: %s", first, d.State(d.Entries[0], first))
	return broken, err
}
