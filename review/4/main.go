// Command 4 shows that a job with long tasks is never done, and that other jobs wait beside it on sound and empty runners.
package main

import (
	"time"

	"chestnutmux.example/chestnutmux/review/standin"
)

const (
	runners     = 6
	normalWork  = 9500 * time.Millisecond // the site's work of a task
	longFactor  = 60                      // a long job takes this many times as long
	normalJobs  = 19                      // beside one long job: a share of 0.05
	contactTime = 4 * time.Second
	finishTime  = 14 * time.Second // the bound finish_s
	idleLimit   = 3 * time.Second  // time of the rule LOST
	watchTime   = 95 * time.Second
)

func main() { standin.Main(check) }

func check(d *standin.Deployment) (string, error) {
	d.Configure(2, 4, 0)
	if _, err := d.AddRunners(runners, "a", standin.Room{CPU: 32000, MemMB: 131072, GPU: 8}, 3); err != nil {
		return "", err
	}
	if err := d.AddEntries(2); err != nil {
		return "", err
	}
	time.Sleep(contactTime)
	work := normalWork
	if d.Trouble {
		work *= longFactor
	}
	id, err := submit(d, work, 16)
	if err != nil {
		return "", err
	}
	for range normalJobs {
		if _, err := submit(d, normalWork/10, 1); err != nil {
			return "", err
		}
	}
	return d.WatchIdle(id, time.Now().Add(finishTime), watchTime, idleLimit)
}

func submit(d *standin.Deployment, work time.Duration, count int) (string, error) {
	need := standin.Room{CPU: 2800, MemMB: 15000, GPU: 1}
	return d.Submit(standin.Work{Duration: work, Need: need}, map[string]any{
		"count": count, "cpu": need.CPU, "mem_mb": need.MemMB, "gpu": need.GPU, "est_runtime_ms": normalWork.Milliseconds(),
	})
}
