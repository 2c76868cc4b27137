package process

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/fake/launcher"
	"chestnutmux.example/chestnutmux/internal/settings"
	"chestnutmux.example/chestnutmux/pkg/differ"
	"chestnutmux.example/chestnutmux/pkg/model"
	"chestnutmux.example/chestnutmux/pkg/parser"
	"chestnutmux.example/chestnutmux/pkg/validator"
)

const (
	deploy = "../../deploy/kartli"

	operator1 = "demo-operator-1"
	operator2 = "demo-operator-2"

	// Tokens of one caller in each workspace; bridal and tailoring hold guarantees.
	bridal     = "demo-atelier"
	tailoring  = "demo-tailor-1"
	upholstery = "demo-upholsterer"
	workshop   = "demo-presses"

	domainA = model.DomainID("kartli-a")
	domainB = model.DomainID("kartli-b")
	domainC = model.DomainID("imereti-a")

	service = model.ServiceID("buttons")

	poll  = 200 * time.Millisecond
	lease = 5 * time.Second
	// inForce is how long a publish may take to be in force everywhere (design 1).
	inForce = 4 * time.Second
	// patience bounds steps for which the design gives no bound.
	patience = 30 * time.Second
)

// cluster is a running deployment with a configuration in force.
type cluster struct {
	*launcher.Cluster
	t   *testing.T
	is  *is.I
	dir string
	set model.ConfigSet
}

// start starts a cluster, publishes the configuration and checks the invariants at the end of the test.
func start(t *testing.T, o launcher.Options) *cluster {
	t.Helper()
	t.Parallel()
	slots <- struct{}{}
	t.Cleanup(func() { <-slots })
	c := &cluster{t: t, is: is.New(t), dir: t.TempDir()}
	o.BinDir, o.DeployDir, o.WorkDir = bin, deploy, c.dir
	tune := o.AdjustSettings
	o.AdjustSettings = func(s *settings.Settings) {
		s.TaskLease, s.HostListPollInterval = ms(lease), ms(poll)
		if tune != nil {
			tune(s)
		}
	}
	var err error
	c.Cluster, err = launcher.Start(o)
	c.is.NoErr(err)
	t.Cleanup(func() { c.end() })
	data, err := os.ReadFile(filepath.Join(deploy, "config.hujson"))
	c.is.NoErr(err)
	c.set, err = parser.ParseConfig(data)
	c.is.NoErr(err)
	c.publishSet()
	return c
}

func ms(d time.Duration) model.Millis { return model.Millis(d.Milliseconds()) }

// hosts are two entry hosts in each of the failure domains.
func hosts(ids ...model.DomainID) map[model.DomainID]int {
	m := map[model.DomainID]int{}
	for _, id := range ids {
		m[id] = 2
	}
	return m
}

func (c *cluster) publishSet() {
	c.t.Helper()
	changes, err := differ.Diff(model.ConfigSet{}, c.set)
	c.is.NoErr(err)
	var v model.ConfigVersion
	c.await(patience, func(ctx context.Context) error {
		v, err = c.Client(c.Hosts[0], operator1).Publish(ctx, model.PublishRequest{SchemaVersion: validator.SchemaVersion, Changes: changes})
		return err
	})
	c.is.NoErr(c.AwaitVersion(inForce, operator1, v, c.Hosts...))
}

// publish puts one object on top of the configuration in force and waits until it is in force everywhere.
func (c *cluster) publish(kind model.ObjectKind, name string, object any) {
	c.t.Helper()
	spec, err := json.Marshal(object)
	c.is.NoErr(err)
	r, err := c.Client(c.Hosts[0], operator1).Config(short(patience))
	c.is.NoErr(err)
	v, err := c.Client(c.Hosts[0], operator1).Publish(short(patience), model.PublishRequest{
		BaseVersion: r.Version, SchemaVersion: validator.SchemaVersion, Changes: []model.ConfigChange{{Kind: kind, Name: name, Spec: spec}},
	})
	c.is.NoErr(err)
	c.is.NoErr(c.AwaitVersion(inForce, operator1, v, c.Hosts...))
}

// end stops the cluster after the checks that hold for every test.
func (c *cluster) end() {
	c.checkLedger()
	c.checkViolations()
	if err := c.Stop(); err != nil {
		c.t.Error(err)
	}
	if c.t.Failed() {
		c.showLogs()
	}
}

// checkLedger guards against tasks that run twice or again, and workers with more than they hold.
func (c *cluster) checkLedger() {
	l, err := c.LedgerReport()
	if err != nil {
		c.t.Error(err)
		return
	}
	for _, f := range l.Violations {
		c.t.Error(f)
	}
}

// checkViolations guards against invariants that a process found violated itself, and against data races in programs
// that GOFLAGS=-race built.
func (c *cluster) checkViolations() {
	for _, h := range c.Hosts {
		data, err := os.ReadFile(c.logPath(h))
		if err != nil {
			c.t.Error(err)
		}
		for line := range bytes.Lines(data) {
			for _, sign := range []string{"invariant violated", "panic:", "DATA RACE"} {
				if bytes.Contains(line, []byte(sign)) {
					c.t.Errorf("%s: %s", h.Settings.HostID, line)
				}
			}
		}
	}
}

func (c *cluster) logPath(h *launcher.Host) string {
	return filepath.Join(c.dir, string(h.Settings.HostID)+".log")
}

// showLogs prints the ends of the logs of a failed test.
func (c *cluster) showLogs() {
	const most = 20000
	for _, h := range c.Hosts {
		data, _ := os.ReadFile(c.logPath(h))
		c.t.Logf("log of %s:\n%s", h.Settings.HostID, data[max(0, len(data)-most):])
	}
}

// await waits until f returns nil and fails the test at the bound.
func (c *cluster) await(bound time.Duration, f func(context.Context) error) {
	c.t.Helper()
	if err := launcher.Await(bound, f); err != nil {
		c.t.Fatal(err)
	}
}

// leader returns the entry host that leads.
func (c *cluster) leader() *launcher.Host {
	c.t.Helper()
	h, err := c.AwaitLeader(patience, operator1)
	c.is.NoErr(err)
	return h
}

// notLeading returns a running entry host that does not lead.
func (c *cluster) notLeading() *launcher.Host {
	c.t.Helper()
	l := c.leader()
	for _, h := range c.Hosts {
		if h != l && h.IsRunning() {
			return h
		}
	}
	c.t.Fatal("no entry host besides the leader")
	return nil
}

// gang is a job of n members that use whole workers.
func gang(id string, n int, run time.Duration) model.JobSpec {
	return model.JobSpec{
		ID: model.JobID(id), Class: "overnight", Shape: model.Shape{Workers: n, Accelerators: 8},
		Payload: fmt.Appendf(nil, `{"run-ms":%d}`, run.Milliseconds()),
	}
}

func (c *cluster) submit(h *launcher.Host, token string, spec model.JobSpec) model.Job {
	c.t.Helper()
	j, err := c.Client(h, token).Submit(context.Background(), spec)
	c.is.NoErr(err)
	return j
}

// awaitState waits until the job is in one of the states.
func (c *cluster) awaitState(bound time.Duration, h *launcher.Host, token string, id model.JobID, states ...model.JobState) model.Job {
	c.t.Helper()
	var job model.Job
	c.await(bound, func(ctx context.Context) error {
		var err error
		job, err = c.Client(h, token).Job(ctx, id, 0)
		for _, s := range states {
			if err == nil && job.State == s {
				return nil
			}
		}
		if err == nil {
			err = errors.Newf("job %s is %s (%s)", id, job.State, job.FailureReason)
		}
		return err
	})
	return job
}

// short is a context for a call that must answer within the bound.
func short(bound time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	time.AfterFunc(bound+time.Second, cancel)
	return ctx
}

// errorOf returns the typed error that a caller was told, or nil.
func errorOf(err error) *model.Error {
	var e *model.Error
	if !errors.As(err, &e) {
		return nil
	}
	return e
}

// outcomeOf returns the outcome that a caller was told.
func outcomeOf(err error) model.Outcome {
	if err == nil {
		return model.OutcomeAnswered
	}
	if e := errorOf(err); e != nil && e.Outcome != "" {
		return e.Outcome
	}
	return model.OutcomeUnknown
}

// kindOf returns the kind of an error, or nothing.
func kindOf(err error) model.ErrorKind {
	if e := errorOf(err); e != nil {
		return e.Kind
	}
	return ""
}
