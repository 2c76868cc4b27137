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
	// stepTimeout is the time limit of a step; the whole demo must end within a minute.
	stepTimeout = 20 * time.Second
	// gangRunTime is the run time of the gang, long enough that the gang is still running when the leader is killed.
	gangRunTime = 6 * time.Second
)

// Options configures the demo.
type Options struct {
	BinDir    string        // directory of the built programs
	DeployDir string        // directory of the deployment files
	KeepFiles bool          // keep the settings and logs of the processes
	Output    *json.Encoder // receives one object per step
}

// demo is the state of one run of the demo.
type demo struct {
	Options
	cluster   *launcher.Cluster
	ids       configIDs
	startedAt time.Time
}

// configIDs has the ids of the caller, service and classes that the demo uses, from the published configuration.
type configIDs struct {
	caller  model.CallerID
	service model.ServiceID
	classes []model.ClassID
}

// Run starts the deployment, runs the scenario and stops the deployment.
func Run(opts Options) error {
	dir, err := os.MkdirTemp("", "chestnutmux-demo-")
	if err != nil {
		return errors.Wrap(err, "demo")
	}
	if opts.KeepFiles {
		fmt.Fprintln(os.Stderr, "settings and logs:", dir)
	} else {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	config, err := readConfig(filepath.Join(opts.DeployDir, "config.hujson"))
	if err != nil {
		return err
	}
	hosts := map[model.DomainID]int{}
	for id := range config.FailureDomains {
		hosts[id] = 2
	}
	d := &demo{Options: opts, startedAt: time.Now(), ids: selectIDs(config)}
	d.cluster, err = launcher.Start(launcher.Options{BinDir: opts.BinDir, DeployDir: opts.DeployDir, WorkDir: dir, HostsPerDomain: hosts})
	if err != nil {
		return err
	}
	err = d.runScenario(config)
	if stopErr := d.cluster.Stop(); err == nil {
		err = stopErr
	}
	if err != nil {
		return err
	}
	return opts.Output.Encode(map[string]any{"demo": "ok", "hosts": len(d.cluster.Hosts), "ms": time.Since(d.startedAt).Milliseconds()})
}

func readConfig(path string) (model.ConfigSet, error) {
	data, err := os.ReadFile(filepath.Clean(path))
	if err != nil {
		return model.ConfigSet{}, errors.Wrap(err, "demo")
	}
	return parser.ParseConfig(data)
}

// selectIDs selects the first caller in the workspace of the first guarantee, and the service, of which there is one.
func selectIDs(config model.ConfigSet) configIDs {
	var ids configIDs
	for id, s := range config.Services {
		ids.service, ids.classes = id, s.Classes
	}
	firstGuarantee := model.GuaranteeID("")
	for id := range config.Guarantees {
		if firstGuarantee == "" || id < firstGuarantee {
			firstGuarantee = id
		}
	}
	for id, c := range config.Callers {
		if c.Workspace == config.Guarantees[firstGuarantee].Workspace && (ids.caller == "" || id < ids.caller) {
			ids.caller = id
		}
	}
	return ids
}

// callerToken returns the token of the caller, which the demo configuration derives from the caller's id.
func (d *demo) callerToken() string { return "demo-" + string(d.ids.caller) }

// runScenario runs the steps of the scenario in order and stops at the first that fails.
func (d *demo) runScenario(config model.ConfigSet) error {
	for _, step := range []struct {
		name string
		run  func() error
	}{
		{"publish", func() error { return d.publish(config) }},
		{"submit gang", d.submitGang},
		{"idempotent request", func() error { return d.sendRequest("idempotent", true) }},
		{"non-idempotent request", func() error { return d.sendRequest("non-idempotent", false) }},
		{"kill leader", d.killLeader},
		{"gang outcome", d.awaitGang},
		{"request after the kill", func() error { return d.sendRequest("after-kill", false) }},
		{"checks", d.checkResults},
	} {
		if err := step.run(); err != nil {
			return errors.Wrap(err, step.name)
		}
	}
	return nil
}

// publish puts the configuration in force on all entry hosts.
func (d *demo) publish(config model.ConfigSet) error {
	c := d.cluster.Client(d.cluster.Hosts[0], operatorToken)
	changes, err := differ.Diff(model.ConfigSet{}, config)
	if err != nil {
		return err
	}
	var version model.ConfigVersion
	err = launcher.Await(stepTimeout, func(ctx context.Context) error {
		version, err = c.Publish(ctx, model.PublishRequest{SchemaVersion: validator.SchemaVersion, Changes: changes})
		return err
	})
	if err != nil {
		return err
	}
	publishedAt := time.Now()
	if err := d.cluster.AwaitVersion(stepTimeout, operatorToken, version, d.cluster.Hosts...); err != nil {
		return err
	}
	return d.Output.Encode(map[string]any{
		"step": "publish", "version": version, "objects": len(changes), "hosts": len(d.cluster.Hosts),
		"in-force-everywhere-ms": time.Since(publishedAt).Milliseconds(),
	})
}

// lastRunningHost returns the last entry host that is running, or the first one if none of the others is.
func (d *demo) lastRunningHost() *launcher.Host {
	hosts := d.cluster.Hosts
	for i := len(hosts) - 1; i > 0; i-- {
		if hosts[i].IsRunning() {
			return hosts[i]
		}
	}
	return hosts[0]
}

const gangID model.JobID = "demo-gang"

// submitGang submits a gang of four workers in one rack and waits until it runs.
func (d *demo) submitGang() error {
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	c := d.cluster.Client(d.cluster.Hosts[1], d.callerToken())
	spec := model.JobSpec{
		ID: gangID, Class: d.ids.classes[len(d.ids.classes)-1],
		Shape:   model.Shape{Workers: 4, Accelerators: 8, Span: model.SpanRack},
		Payload: json.RawMessage(fmt.Sprintf(`{"run-ms":%d}`, gangRunTime.Milliseconds())),
	}
	job, err := c.Submit(ctx, spec)
	if err != nil {
		return err
	}
	submittedAt := time.Now()
	err = launcher.Await(stepTimeout, func(ctx context.Context) error {
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
		"start-ms": time.Since(submittedAt).Milliseconds(),
	})
}

// sendRequest sends a service request to the last running entry host and waits for the response.
func (d *demo) sendRequest(name string, idempotent bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	c := d.cluster.Client(d.lastRunningHost(), d.callerToken())
	id := model.RequestID(uuid.Must(uuid.NewV7()).String())
	resp, err := c.Call(ctx, client.CallRequest{
		Service: d.ids.service, RequestID: id, Idempotent: idempotent,
		Deadline: time.Now().Add(stepTimeout), Body: []byte(`{"run-ms":20}`),
	})
	if err != nil {
		return err
	}
	return d.Output.Encode(map[string]any{
		"step": name, "request": id, "outcome": model.OutcomeAnswered, "runner": resp.Runner, "bytes": len(resp.Body),
	})
}

// killLeader kills the leader and waits until another entry host is the leader.
func (d *demo) killLeader() error {
	leader, err := d.cluster.AwaitLeader(stepTimeout, operatorToken)
	if err != nil {
		return err
	}
	if err := d.cluster.KillHost(leader); err != nil {
		return err
	}
	killedAt := time.Now()
	nextLeader, err := d.cluster.AwaitLeader(stepTimeout, operatorToken)
	if err != nil {
		return err
	}
	return d.Output.Encode(map[string]any{
		"step": "kill", "killed": leader.Settings.HostID, "next-leader": nextLeader.Settings.HostID,
		"takeover-ms": time.Since(killedAt).Milliseconds(),
	})
}

// awaitGang waits for the end of the gang, which the next leader records, and checks that it finished.
func (d *demo) awaitGang() error {
	c := d.cluster.Client(d.lastRunningHost(), d.callerToken())
	var job model.Job
	err := launcher.Await(stepTimeout, func(ctx context.Context) error {
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

// checkResults checks the records of the fakes: no guarantee was violated and each request ran once.
func (d *demo) checkResults() error {
	ledger, err := d.cluster.LedgerReport()
	if err != nil {
		return err
	}
	if len(ledger.Violations) > 0 {
		return errors.Newf("the workers recorded violations: %v", ledger.Violations)
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
