package main

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"chestnutmux.example/chestnutmux/internal/fake/launcher"
)

// quiet is how long nothing more is read from the log once a host has caught up.
const quiet = 2 * time.Second

// started is the result of the start of an entry host.
type started struct {
	Jobs     int     `json:"jobs"`      // live
	Records  int64   `json:"records"`   // appended to the log by the host that accepted them
	ReadyMS  int64   `json:"ready-ms"`  // until the host is ready for requests
	CaughtMS int64   `json:"caught-ms"` // until nothing more is read
	Bytes    int64   `json:"log-bytes"`
	CPU      float64 `json:"cpu-ms"`
	GoMB     float64 `json:"go-memory-mb"`
	MaxRSSMB float64 `json:"max-rss-mb"`
	Planner  float64 `json:"planner-max-rss-mb"` // of the host that wrote the snapshots
}

// startHost adds waiting jobs, starts one more entry host and measures how it reads the log.
func (r *rig) startHost() (s started, err error) {
	var group errgroup.Group
	group.SetLimit(submitters)
	for i := range r.Queue {
		// The cores of the workers are used up after a few hundred jobs.
		group.Go(func() error { return r.submit(fmt.Sprintf("queue-%06d", i), i, r.Workers, 24*time.Hour) })
	}
	if err := group.Wait(); err != nil {
		return s, err
	}
	time.Sleep(r.Snapshot + r.Snapshot/2) // at least one snapshot has all jobs
	ctx := context.Background()
	v, err := r.vars(ctx, r.planner)
	if err != nil {
		return s, err
	}
	s.Planner = float64(v.Process.Resident) / (1 << 20)
	s.Jobs = v.Planner.Stats.RunningGangs + r.Queue
	for _, n := range v.Appends {
		s.Records += n
	}
	begin := time.Now()
	h, err := r.cluster.Add("late-host", r.planner)
	if err != nil {
		return s, err
	}
	err = launcher.Await(patience, func(ctx context.Context) error {
		status, err := r.cluster.Client(h, operator).Status(ctx)
		if err == nil && !status.Ready {
			err = errors.New(status.NotReady)
		}
		return err
	})
	if err != nil {
		return s, err
	}
	s.ReadyMS = time.Since(begin).Milliseconds()
	for last := time.Now(); time.Since(last) < quiet; time.Sleep(50 * time.Millisecond) {
		if v, err = r.vars(ctx, h); err != nil {
			return s, err
		}
		if n := v.Bytes["log/in"]; n > s.Bytes {
			s.Bytes, last, s.CaughtMS = n, time.Now(), time.Since(begin).Milliseconds()
		}
	}
	const mb = 1 << 20
	s.CPU, s.GoMB, s.MaxRSSMB = v.Process.CPUMillis, float64(v.Process.Go)/mb, float64(v.Process.Resident)/mb
	return s, nil
}
