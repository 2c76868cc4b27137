// Command 2 shows that a new leader starts a task that still runs, because a record of the former leader says that a runner gets no tasks.
package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"

	"chestnutmux.example/chestnutmux/review/standin"
)

const (
	downTime     = 4500 * time.Millisecond // how long the store is down on the site
	oneWay       = 20 * time.Millisecond   // between regions
	longTask     = 11 * time.Second
	task         = 2500 * time.Millisecond
	contactTime  = 4 * time.Second
	startTimeout = 5 * time.Second
	watchTime    = 25 * time.Second
)

func main() { standin.Main(check) }

func check(d *standin.Deployment) (string, error) {
	room := standin.Room{CPU: 32000, MemMB: 131072, GPU: 8}
	d.Configure(1, 3, 0)
	near, err := d.AddRunners(4, "kartli-a", "a", room, 4)
	if err != nil {
		return "", err
	}
	farRunners, err := d.AddRunners(1, "imereti-a", "b", room, 4)
	if err != nil {
		return "", err
	}
	far := farRunners[0]
	far.SetDistance(oneWay)
	if err := d.AddEntries(3); err != nil {
		return "", err
	}
	time.Sleep(contactTime)
	if _, err := submit(d, longTask, map[string]any{"constraints": "b"}); err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	if d.Trouble {
		d.Store.SetDown(true)
		time.Sleep(downTime)
		for _, r := range append(near, far) {
			r.Expire()
		}
		d.Store.SetDown(false)
	}
	time.Sleep(1200 * time.Millisecond)
	if d.Trouble {
		far.Return()
	}
	id, err := submit(d, task, map[string]any{"affinity": "rb-0"})
	if err != nil {
		return "", err
	}
	leader := d.Leader()
	if leader == nil {
		return "", fmt.Errorf("no entry host leads")
	}
	for deadline := time.Now().Add(startTimeout); len(runsOf(d, id)) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			return "", fmt.Errorf("job %s has not started", id)
		}
	}
	if d.Trouble {
		leader.Signal(syscall.SIGKILL)
		time.Sleep(300 * time.Millisecond)
		for _, r := range near {
			r.Return()
		}
	}
	for end := time.Now().Add(watchTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if d.State(d.Entries[1], id) == "completed" || d.State(d.Entries[2], id) == "completed" {
			break
		}
	}
	runs := runsOf(d, id)
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			if a.Task == b.Task && b.At.Before(a.EndAt) {
				return fmt.Sprintf("TWICE: run %d of %s on %s began %v before run %d on %s ended", b.Run, b.Task, b.Runner,
					a.EndAt.Sub(b.At).Round(time.Millisecond), a.Run, a.Runner), nil
			}
		}
	}
	return "", nil
}

func runsOf(d *standin.Deployment, id string) []standin.Start {
	var out []standin.Start
	for _, s := range d.Fleet.Starts() {
		if strings.HasPrefix(s.Task, id) {
			out = append(out, s)
		}
	}
	return out
}

func submit(d *standin.Deployment, work time.Duration, more map[string]any) (string, error) {
	need := standin.Room{CPU: 3700, MemMB: 11000, GPU: 1}
	step := map[string]any{"count": 1, "cpu": need.CPU, "mem_mb": need.MemMB, "gpu": need.GPU, "est_runtime_ms": work.Milliseconds()}
	for k, v := range more {
		step[k] = v
	}
	return d.Submit(standin.Work{Duration: work, Need: need}, step)
}
