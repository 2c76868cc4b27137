package daemon

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/asserter"
	"chestnutmux.example/chestnutmux/internal/recorder"
	"chestnutmux.example/chestnutmux/internal/reserver"
	"chestnutmux.example/chestnutmux/internal/router"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// gaugeWait bounds a metric that asks a task for its state.
const gaugeWait = time.Second

func (d *Daemon) gauges() {
	d.recorder.Gauge("invariant-violations", func() any { return d.asserter.Counts() })
	d.recorder.Gauge("config-version", func() any { return d.config.view.Load().version })
	d.recorder.Gauge("router", func() any { return d.router.Load() })
	d.recorder.Gauge("guarantee-shortage", func() any {
		ctx, cancel := context.WithTimeout(context.Background(), gaugeWait)
		defer cancel()
		s, err := d.planner.State(ctx)
		if err != nil || s.Role != reserver.RolePlanner {
			return nil
		}
		return s.Stats.Shortage
	})
	d.recorder.Gauge("planner", func() any {
		ctx, cancel := context.WithTimeout(context.Background(), gaugeWait)
		defer cancel()
		s, err := d.planner.State(ctx)
		if err != nil {
			return nil
		}
		return s
	})
}

func (d *Daemon) routerHooks() router.Hooks {
	r := d.recorder
	return router.Hooks{
		Wait: func(ws model.WorkspaceID, class model.ClassID, t time.Duration) {
			r.RequestWait.Record(recorder.Labels(ws, class), t)
		},
		Service: func(ws model.WorkspaceID, class model.ClassID, t time.Duration) {
			r.RequestService.Record(recorder.Labels(ws, class), t)
		},
		Outcome: func(ws model.WorkspaceID, class model.ClassID, outcome model.Outcome, _ model.ErrorKind) {
			r.Outcomes.Add(recorder.Labels(ws, class)+"/"+string(outcome), 1)
		},
		Shed: func(ws model.WorkspaceID, class model.ClassID, kind model.ErrorKind) {
			r.Shed.Add(recorder.Labels(ws, class)+"/"+string(kind), 1)
		},
		Retry: func(ws model.WorkspaceID, class model.ClassID) {
			r.Retries.Add(recorder.Labels(ws, class), 1)
		},
		LinkBytes: func(ws model.WorkspaceID, class model.ClassID, n model.Bytes) {
			r.Bytes.Add("link/"+recorder.Labels(ws, class), int64(n))
		},
		Invariant: func(_, detail string) {
			d.asserter.Violated(asserter.WrongAnswer, "detail", detail)
		},
		Violated: d.asserter.Violated,
	}
}

// asError returns the typed error of err, or one of unknown outcome.
func asError(err error) *model.Error {
	var e *model.Error
	if errors.As(err, &e) {
		return e
	}
	return &model.Error{
		Outcome: model.OutcomeUnknown, Kind: model.KindUpstream, Message: err.Error(),
		Remedy: "repeat with the same request id to fetch the answer",
	}
}
