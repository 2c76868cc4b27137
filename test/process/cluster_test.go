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
	deployDir = "../../deploy/kartli"

	operator1Token = "demo-operator-1"
	operator2Token = "demo-operator-2"

	// Tokens of one caller per workspace. The workspaces bridal and tailoring have guarantees.
	bridalToken     = "demo-atelier"
	tailoringToken  = "demo-tailor-1"
	upholsteryToken = "demo-upholsterer"
	workshopToken   = "demo-presses"

	domainA = model.DomainID("kartli-a")
	domainB = model.DomainID("kartli-b")
	domainC = model.DomainID("imereti-a")

	serviceID = model.ServiceID("buttons")

	hostListPollInterval = 200 * time.Millisecond
	workerLeaseDuration  = 5 * time.Second
	// inForceTimeout limits the time until a published configuration is in force on all hosts (section 1 of docs/design.md).
	inForceTimeout = 4 * time.Second
	// defaultTimeout limits waits and calls for which the design sets no limit.
	defaultTimeout = 30 * time.Second
)

// cluster is a running deployment and the configuration set that startCluster published to it.
type cluster struct {
	*launcher.Cluster
	t         *testing.T
	is        *is.I
	dir       string
	configSet model.ConfigSet
}

// startCluster starts a deployment beside those of other tests and publishes the example configuration. At the end of the test, the invariants are checked and the deployment is stopped.
func startCluster(t *testing.T, opts launcher.Options) *cluster {
	t.Helper()
	t.Parallel()
	return startClusterAlone(t, opts)
}

// startTakeoverCluster is like startCluster, for tests in which hosts fail or lose the log.
func startTakeoverCluster(t *testing.T, opts launcher.Options) *cluster {
	t.Helper()
	t.Parallel()
	takeoverSlots <- struct{}{}
	t.Cleanup(func() { <-takeoverSlots })
	return startClusterAlone(t, opts)
}

// startClusterAlone is like startCluster, but no other test of the package runs at the same time.
func startClusterAlone(t *testing.T, opts launcher.Options) *cluster {
	t.Helper()
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots })
	c := &cluster{t: t, is: is.New(t), dir: t.TempDir()}
	opts.BinDir, opts.DeployDir, opts.WorkDir = binDir, deployDir, c.dir
	adjust := opts.AdjustSettings
	opts.AdjustSettings = func(s *settings.Settings) {
		s.LeaseDurationMS, s.HostListPollIntervalMS = toMillis(workerLeaseDuration), toMillis(hostListPollInterval)
		if adjust != nil {
			adjust(s)
		}
	}
	var err error
	c.Cluster, err = launcher.Start(opts)
	c.is.NoErr(err)
	t.Cleanup(func() { c.stopAndCheck() })
	data, err := os.ReadFile(filepath.Join(deployDir, "config.hujson"))
	c.is.NoErr(err)
	c.configSet, err = parser.ParseConfig(data)
	c.is.NoErr(err)
	c.publishConfigSet()
	return c
}

func toMillis(d time.Duration) model.Millis { return model.Millis(d.Milliseconds()) }

// twoHostsPerDomain returns host counts with two entry hosts in each of the failure domains.
func twoHostsPerDomain(domains ...model.DomainID) map[model.DomainID]int {
	hostCounts := map[model.DomainID]int{}
	for _, domain := range domains {
		hostCounts[domain] = 2
	}
	return hostCounts
}

// publishConfigSet publishes c.configSet as the first configuration and waits until it is in force on all hosts.
func (c *cluster) publishConfigSet() {
	c.t.Helper()
	changes, err := differ.Diff(model.ConfigSet{}, c.configSet)
	c.is.NoErr(err)
	var v model.ConfigVersion
	c.await(defaultTimeout, func(ctx context.Context) error {
		v, err = c.Client(c.Hosts[0], operator1Token).Publish(ctx, model.PublishRequest{SchemaVersion: validator.SchemaVersion, Changes: changes})
		return err
	})
	c.is.NoErr(c.AwaitVersion(inForceTimeout, operator1Token, v, c.Hosts...))
}

// publishObject adds or replaces one object of the configuration in force and waits until all hosts have applied the change.
func (c *cluster) publishObject(kind model.ObjectKind, name string, object any) {
	c.t.Helper()
	spec, err := json.Marshal(object)
	c.is.NoErr(err)
	current, err := c.Client(c.Hosts[0], operator1Token).Config(withTimeout(defaultTimeout))
	c.is.NoErr(err)
	v, err := c.Client(c.Hosts[0], operator1Token).Publish(withTimeout(defaultTimeout), model.PublishRequest{
		BaseVersion: current.Version, SchemaVersion: validator.SchemaVersion, Changes: []model.ConfigChange{{Kind: kind, Name: name, Spec: spec}},
	})
	c.is.NoErr(err)
	c.is.NoErr(c.AwaitVersion(inForceTimeout, operator1Token, v, c.Hosts...))
}

// stopAndCheck checks the invariants that apply to every test, stops the cluster and prints the logs of a failed test.
func (c *cluster) stopAndCheck() {
	c.checkLedgerViolations()
	c.checkLogs()
	if err := c.Stop(); err != nil {
		c.t.Error(err)
	}
	if c.t.Failed() {
		c.printLogTails()
	}
}

// checkLedgerViolations reports the violations that the fake workers recorded, such as tasks that ran twice at the same time or
// again after their completion, and workers whose capacity was exceeded.
func (c *cluster) checkLedgerViolations() {
	report, err := c.LedgerReport()
	if err != nil {
		c.t.Error(err)
		return
	}
	for _, violation := range report.Violations {
		c.t.Error(violation)
	}
}

// checkLogs reports violated invariants and panics that a host logged, and data races in programs built with GOFLAGS=-race.
func (c *cluster) checkLogs() {
	for _, h := range c.Hosts {
		data, err := os.ReadFile(c.logPath(h))
		if err != nil {
			c.t.Error(err)
		}
		for line := range bytes.Lines(data) {
			for _, marker := range []string{"invariant violated", "panic:", "DATA RACE"} {
				if bytes.Contains(line, []byte(marker)) {
					c.t.Errorf("%s: %s", h.Settings.HostID, line)
				}
			}
		}
	}
}

func (c *cluster) logPath(h *launcher.Host) string {
	return filepath.Join(c.dir, string(h.Settings.HostID)+".log")
}

// printLogTails prints the end of the log of each host.
func (c *cluster) printLogTails() {
	const maxBytes = 20000
	for _, h := range c.Hosts {
		data, _ := os.ReadFile(c.logPath(h))
		c.t.Logf("log of %s:\n%s", h.Settings.HostID, data[max(0, len(data)-maxBytes):])
	}
}

// await calls f until it returns nil, and fails the test after the timeout.
func (c *cluster) await(timeout time.Duration, f func(context.Context) error) {
	c.t.Helper()
	if err := launcher.Await(timeout, f); err != nil {
		c.t.Fatal(err)
	}
}

// leader waits until an entry host is the leader and returns it.
func (c *cluster) leader() *launcher.Host {
	c.t.Helper()
	h, err := c.AwaitLeader(defaultTimeout, operator1Token)
	c.is.NoErr(err)
	return h
}

// follower returns a running entry host that is not the leader.
func (c *cluster) follower() *launcher.Host {
	c.t.Helper()
	leader := c.leader()
	for _, h := range c.Hosts {
		if h != leader && h.IsRunning() {
			return h
		}
	}
	c.t.Fatal("no running entry host besides the leader")
	return nil
}

// gangSpec returns the spec of a job whose members each use a whole worker.
func gangSpec(id string, members int, runTime time.Duration) model.JobSpec {
	return model.JobSpec{
		ID: model.JobID(id), Class: "overnight", Shape: model.Shape{Workers: members, Accelerators: 8},
		Payload: fmt.Appendf(nil, `{"run-ms":%d}`, runTime.Milliseconds()),
	}
}

func (c *cluster) submit(h *launcher.Host, token string, spec model.JobSpec) model.Job {
	c.t.Helper()
	j, err := c.Client(h, token).Submit(context.Background(), spec)
	c.is.NoErr(err)
	return j
}

// awaitJobState waits until the job is in one of the states and returns it.
func (c *cluster) awaitJobState(timeout time.Duration, h *launcher.Host, token string, id model.JobID, states ...model.JobState) model.Job {
	c.t.Helper()
	var job model.Job
	c.await(timeout, func(ctx context.Context) error {
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

// withTimeout returns a context that expires after the timeout. A timer releases its resources, so that callers need no
// cancel function.
func withTimeout(timeout time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	time.AfterFunc(timeout+time.Second, cancel)
	return ctx
}

// modelError returns the *model.Error that err wraps, or nil.
func modelError(err error) *model.Error {
	var e *model.Error
	if !errors.As(err, &e) {
		return nil
	}
	return e
}

// outcomeOf returns the outcome that err reports to a caller, or unknown if it reports none. Calls without an error are
// answered.
func outcomeOf(err error) model.Outcome {
	if err == nil {
		return model.OutcomeAnswered
	}
	if e := modelError(err); e != nil && e.Outcome != "" {
		return e.Outcome
	}
	return model.OutcomeUnknown
}

// kindOf returns the kind of the *model.Error that err wraps, or an empty kind.
func kindOf(err error) model.ErrorKind {
	if e := modelError(err); e != nil {
		return e.Kind
	}
	return ""
}
