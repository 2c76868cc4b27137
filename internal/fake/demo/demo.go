package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"chestnutmux.example/chestnutmux/internal/fake/launcher"
	"chestnutmux.example/chestnutmux/pkg/client"
	"chestnutmux.example/chestnutmux/pkg/differ"
	"chestnutmux.example/chestnutmux/pkg/model"
	"chestnutmux.example/chestnutmux/pkg/parser"
	"chestnutmux.example/chestnutmux/pkg/validator"
)

const (
	operatorToken = "demo-operator-1"
	// step bounds each step; the whole demo must end within a minute.
	step = 20 * time.Second
	// gangRun is how long the gang runs, long enough to outlive the entry host that is killed.
	gangRun = 6 * time.Second
)

// Options describe the deployment and the output.
type Options struct {
	BinDir    string
	DeployDir string
	KeepFiles bool
	Output    *json.Encoder
}

// demo is the state of one run.
type demo struct {
	Options
	cluster *launcher.Cluster
	names   names
	started time.Time
}

// names are taken from the published configuration.
type names struct {
	caller  model.CallerID
	service model.ServiceID
	classes []model.ClassID
}

// Run starts the deployment, runs the scenario and stops all that it started.
func Run(o Options) error {
	dir, err := os.MkdirTemp("", "chestnutmux-demo-")
	if err != nil {
		return errors.Wrap(err, "demo")
	}
	if o.KeepFiles {
		fmt.Fprintln(os.Stderr, "settings and logs:", dir)
	} else {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	set, err := readSet(filepath.Join(o.DeployDir, "config.hujson"))
	if err != nil {
		return err
	}
	hosts := map[model.DomainID]int{}
	for id := range set.FailureDomains {
		hosts[id] = 2
	}
	d := &demo{Options: o, started: time.Now(), names: namesOf(set)}
	d.cluster, err = launcher.Start(launcher.Options{BinDir: o.BinDir, DeployDir: o.DeployDir, WorkDir: dir, HostsPerDomain: hosts})
	if err != nil {
		return err
	}
	err = d.scenario(set)
	if stopErr := d.cluster.Stop(); err == nil {
		err = stopErr
	}
	if err != nil {
		return err
	}
	return o.Output.Encode(map[string]any{"demo": "ok", "hosts": len(d.cluster.Hosts), "ms": time.Since(d.started).Milliseconds()})
}

func readSet(path string) (model.ConfigSet, error) {
	data, err := os.ReadFile(filepath.Clean(path))
	if err != nil {
		return model.ConfigSet{}, errors.Wrap(err, "demo")
	}
	return parser.ParseConfig(data)
}

// namesOf picks the caller of the first guarantee's workspace and the only service.
func namesOf(set model.ConfigSet) names {
	var n names
	for id, s := range set.Services {
		n.service, n.classes = id, s.Classes
	}
	first := model.GuaranteeID("")
	for id := range set.Guarantees {
		if first == "" || id < first {
			first = id
		}
	}
	for id, c := range set.Callers {
		if c.Workspace == set.Guarantees[first].Workspace && (n.caller == "" || id < n.caller) {
			n.caller = id
		}
	}
	return n
}

func (d *demo) callerToken() string { return "demo-" + string(d.names.caller) }

func (d *demo) scenario(set model.ConfigSet) error {
	for _, s := range []struct {
		name string
		run  func() error
	}{
		{"publish", func() error { return d.publish(set) }},
		{"submit gang", d.submitGang},
		{"idempotent request", func() error { return d.call("idempotent", true) }},
		{"non-idempotent request", func() error { return d.call("non-idempotent", false) }},
		{"kill leader", d.killLeader},
		{"gang outcome", d.gangOutcome},
		{"request after the kill", func() error { return d.call("after-kill", false) }},
		{"checks", d.check},
	} {
		if err := s.run(); err != nil {
			return errors.Wrap(err, s.name)
		}
	}
	return nil
}

// publish puts the configuration in force on all entry hosts.
func (d *demo) publish(set model.ConfigSet) error {
	c := d.cluster.Client(d.cluster.Hosts[0], operatorToken)
	changes, err := differ.Diff(model.ConfigSet{}, set)
	if err != nil {
		return err
	}
	var version model.ConfigVersion
	err = launcher.Await(step, func(ctx context.Context) error {
		version, err = c.Publish(ctx, model.PublishRequest{SchemaVersion: validator.SchemaVersion, Changes: changes})
		return err
	})
	if err != nil {
		return err
	}
	published := time.Now()
	if err := d.cluster.AwaitVersion(step, operatorToken, version, d.cluster.Hosts...); err != nil {
		return err
	}
	return d.Output.Encode(map[string]any{
		"step": "publish", "version": version, "objects": len(changes), "hosts": len(d.cluster.Hosts),
		"in-force-everywhere-ms": time.Since(published).Milliseconds(),
	})
}

// running returns the last entry host whose process has not ended.
func (d *demo) running() *launcher.Host {
	hosts := d.cluster.Hosts
	for i := len(hosts) - 1; i > 0; i-- {
		if hosts[i].IsRunning() {
			return hosts[i]
		}
	}
	return hosts[0]
}

const gangID model.JobID = "demo-gang"

// submitGang submits a gang over four adjacent workers and waits for its start.
func (d *demo) submitGang() error {
	ctx, cancel := context.WithTimeout(context.Background(), step)
	defer cancel()
	c := d.cluster.Client(d.cluster.Hosts[1], d.callerToken())
	spec := model.JobSpec{
		ID: gangID, Class: d.names.classes[len(d.names.classes)-1],
		Shape:   model.Shape{Workers: 4, Accelerators: 8, Span: model.SpanRack},
		Payload: json.RawMessage(fmt.Sprintf(`{"run-ms":%d}`, gangRun.Milliseconds())),
	}
	job, err := c.Submit(ctx, spec)
	if err != nil {
		return err
	}
	submitted := time.Now()
	err = launcher.Await(step, func(ctx context.Context) error {
		job, err = c.Job(ctx, gangID, 0)
		if err == nil && job.State != model.JobRunning {
			err = errors.Newf("the gang is %s", job.State)
		}
		return err
	})
	if err != nil {
		return err
	}
	return d.Output.Encode(map[string]any{
		"step": "gang", "job": job.Spec.ID, "state": job.State,
		"start-ms": time.Since(submitted).Milliseconds(),
	})
}

// call sends a request to the last entry host.
func (d *demo) call(name string, idempotent bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), step)
	defer cancel()
	c := d.cluster.Client(d.running(), d.callerToken())
	id := model.RequestID(uuid.Must(uuid.NewV7()).String())
	answer, err := c.Call(ctx, client.CallRequest{
		Service: d.names.service, RequestID: id, Idempotent: idempotent,
		Deadline: time.Now().Add(step), Body: []byte(`{"run-ms":20}`),
	})
	if err != nil {
		return err
	}
	return d.Output.Encode(map[string]any{
		"step": name, "request": id, "outcome": model.OutcomeAnswered, "runner": answer.Runner, "bytes": len(answer.Body),
	})
}

// killLeader kills the entry host that directs the workers.
func (d *demo) killLeader() error {
	victim, err := d.cluster.AwaitLeader(step, operatorToken)
	if err != nil {
		return err
	}
	if err := d.cluster.KillHost(victim); err != nil {
		return err
	}
	killed := time.Now()
	next, err := d.cluster.AwaitLeader(step, operatorToken)
	if err != nil {
		return err
	}
	return d.Output.Encode(map[string]any{
		"step": "kill", "killed": victim.Settings.HostID, "next-leader": next.Settings.HostID,
		"takeover-ms": time.Since(killed).Milliseconds(),
	})
}

// gangOutcome follows the gang to its end, which the next leader records.
func (d *demo) gangOutcome() error {
	c := d.cluster.Client(d.running(), d.callerToken())
	var job model.Job
	err := launcher.Await(step, func(ctx context.Context) error {
		var err error
		job, err = c.Job(ctx, gangID, time.Second)
		if err == nil && !job.State.IsFinal() {
			err = errors.Newf("the gang is %s", job.State)
		}
		return err
	})
	if err != nil {
		return err
	}
	if job.State != model.JobFinished {
		return errors.Newf("the gang is %s: %s", job.State, job.FailureReason)
	}
	return d.Output.Encode(map[string]any{"step": "gang", "job": job.Spec.ID, "state": job.State})
}

// check asks the fakes what really ran.
func (d *demo) check() error {
	ledger, err := d.cluster.LedgerReport()
	if err != nil {
		return err
	}
	if len(ledger.Violations) > 0 {
		return errors.Newf("the workers saw faults: %v", ledger.Violations)
	}
	runs, err := d.cluster.RunCounts()
	if err != nil {
		return err
	}
	for id, n := range runs.ByRequestID {
		if n != 1 {
			return errors.Newf("request %s ran %d times", id, n)
		}
	}
	return d.Output.Encode(map[string]any{"step": "checks", "tasks-started": len(ledger.StartsByTask), "requests-run": len(runs.ByRequestID)})
}
