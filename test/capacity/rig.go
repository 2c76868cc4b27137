package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"chestnutmux.example/chestnutmux/internal/fake/launcher"
	"chestnutmux.example/chestnutmux/internal/meter"
	"chestnutmux.example/chestnutmux/pkg/differ"
	"chestnutmux.example/chestnutmux/pkg/model"
	"chestnutmux.example/chestnutmux/pkg/validator"
)

const (
	// patience bounds each step of the preparation.
	patience = 2 * time.Minute
	// submitters is the number of submissions in flight; the appender batches them.
	submitters = 256
)

// rig is a running cluster under measurement.
type rig struct {
	arguments
	cluster *launcher.Cluster
	planner *launcher.Host
}

// fill publishes the configuration and starts the tasks.
func (r *rig) fill() error {
	changes, err := differ.Diff(model.Set{}, configuration(r.arguments))
	if err != nil {
		return err
	}
	var v model.Version
	err = launcher.Await(patience, func(ctx context.Context) error {
		v, err = r.cluster.Client(r.cluster.Hosts[0], operator).Publish(ctx, model.Publish{Schema: validator.Schema, Changes: changes})
		return err
	})
	if err != nil {
		return err
	}
	if err := r.cluster.AwaitVersion(patience, operator, v, r.cluster.Hosts...); err != nil {
		return err
	}
	if r.planner, err = r.cluster.AwaitPlanner(patience, operator, measured); err != nil {
		return err
	}
	gangs := r.Workers * r.Tasks / r.Gang
	var group errgroup.Group
	group.SetLimit(submitters)
	for i := range gangs {
		group.Go(func() error { return r.submit(fmt.Sprintf("fill-%06d", i), i, r.Gang, 24*time.Hour) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	return launcher.Await(patience, func(ctx context.Context) error {
		v, err := r.vars(ctx, r.planner)
		if err == nil && v.Planner.Stats.RunningGangs < gangs {
			err = errors.Newf("%d of %d gangs run", v.Planner.Stats.RunningGangs, gangs)
		}
		return err
	})
}

// submit submits a job of one core per member, so that any number of tasks fits a worker.
func (r *rig) submit(id string, i, members int, run time.Duration) error {
	spec := model.JobSpec{
		ID: model.JobID(id), Class: "batch", Shape: model.Shape{Workers: members, Cores: 1, MemoryMB: 1024},
		Payload: json.RawMessage(fmt.Sprintf(`{"run-ms":%d,"image":"registry/team/training:2026-11-30","args":["--epochs","40"]}`, run.Milliseconds())),
	}
	return launcher.Await(patience, func(ctx context.Context) error {
		_, err := r.cluster.Client(r.planner, token(i)).Submit(ctx, spec)
		return err
	})
}

// vars is the part of /debug/vars that is measured.
type vars struct {
	Process  meter.Process    `json:"process"`
	Bytes    map[string]int64 `json:"control-bytes"`
	Messages map[string]int64 `json:"control-messages"`
	Appends  map[string]int64 `json:"log-appends"`
	Planner  struct {
		Role  string
		Stats struct{ RunningGangs int }
	} `json:"planner"`
}

func (r *rig) vars(ctx context.Context, h *launcher.Host) (v vars, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.URL()+"/debug/vars", nil)
	if err != nil {
		return v, errors.Wrap(err, "vars")
	}
	req.Header.Set("Authorization", "Bearer "+operator)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return v, errors.Wrap(err, "vars")
	}
	defer func() { _ = resp.Body.Close() }()
	return v, errors.Wrap(json.NewDecoder(resp.Body).Decode(&v), "vars")
}

// line is the result for one entry host.
type line struct {
	Host     model.HostID       `json:"host"`
	Role     string             `json:"role"`
	Workers  int                `json:"workers"`
	Gangs    int                `json:"gangs"`
	CPU      float64            `json:"cpu-ms-per-minute"`
	Core     float64            `json:"core-percent"`
	HeapMB   float64            `json:"heap-mb"`
	GoMB     float64            `json:"go-memory-mb"`
	MaxRSSMB float64            `json:"max-rss-mb"`
	Bytes    map[string]float64 `json:"bytes-per-second"` // by kind of peer and direction
	Messages map[string]float64 `json:"messages-per-second"`
	Appends  map[string]int64   `json:"log-appends"`
}

func (r *rig) measure() ([]line, error) {
	ctx, cancel := context.WithTimeout(context.Background(), r.Time+patience)
	defer cancel()
	first := make([]vars, len(r.cluster.Hosts))
	var err error
	for i, h := range r.cluster.Hosts {
		if first[i], err = r.vars(ctx, h); err != nil {
			return nil, err
		}
	}
	start := time.Now()
	if err := r.load(start.Add(r.Time)); err != nil {
		return nil, err
	}
	var out []line
	for i, h := range r.cluster.Hosts {
		elapsed := time.Since(start)
		v, err := r.vars(ctx, h)
		if err != nil {
			return nil, err
		}
		out = append(out, r.compare(h.Settings.HostID, first[i], v, elapsed))
	}
	return out, nil
}

func (r *rig) compare(id model.HostID, a, b vars, elapsed time.Duration) line {
	const mb = 1 << 20
	cpu := b.Process.CPUMillis - a.Process.CPUMillis
	return line{
		Host: id, Role: b.Planner.Role, Workers: r.Workers, Gangs: b.Planner.Stats.RunningGangs,
		CPU: cpu / elapsed.Minutes(), Core: 100 * cpu / float64(elapsed.Milliseconds()),
		HeapMB: float64(b.Process.HeapAlloc) / mb, GoMB: float64(b.Process.Go) / mb, MaxRSSMB: float64(b.Process.Resident) / mb,
		Bytes: rates(a.Bytes, b.Bytes, elapsed), Messages: rates(a.Messages, b.Messages, elapsed), Appends: b.Appends,
	}
}

func rates(a, b map[string]int64, elapsed time.Duration) map[string]float64 {
	out := map[string]float64{}
	for k, n := range b {
		out[k] = float64(n-a[k]) / elapsed.Seconds()
	}
	return out
}
