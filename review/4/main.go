// Command 4 shows that a task that has failed once on the only runner that it may use is never started again.
package main

import (
	"time"

	"chestnutmux.example/chestnutmux/review/standin"
)

const (
	greyTime    = 6500 * time.Millisecond // how long runners fail what they start on the site
	taskTime    = 2500 * time.Millisecond
	maxAttempts = 4
	contactTime = 4 * time.Second
	finishTime  = 14 * time.Second // the bound finish_s
	idleLimit   = 3 * time.Second  // time of the rule LOST
	watchTime   = 70 * time.Second
)

func main() { standin.Main(check) }

func check(d *standin.Deployment) (string, error) {
	room := standin.Room{CPU: 32000, MemMB: 131072, GPU: 8}
	d.Configure(2, maxAttempts, 0)
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
	if d.Trouble {
		special[0].SetGrey(true)
	}
	need := standin.Room{CPU: 2800, MemMB: 15000, GPU: 1}
	id, err := d.Submit(standin.Work{Duration: taskTime, Need: need}, map[string]any{
		"count": 1, "cpu": need.CPU, "mem_mb": need.MemMB, "gpu": need.GPU, "est_runtime_ms": taskTime.Milliseconds(), "constraints": "b",
	})
	if err != nil {
		return "", err
	}
	sentAt := time.Now()
	time.Sleep(greyTime)
	if d.Trouble {
		special[0].SetGrey(false)
	}
	return d.WatchIdle(id, sentAt.Add(finishTime), watchTime, idleLimit)
}
