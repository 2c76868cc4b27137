package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/fake/launcher"
	"chestnutmux.example/chestnutmux/internal/settings"
	"chestnutmux.example/chestnutmux/pkg/differ"
	"chestnutmux.example/chestnutmux/pkg/model"
	"chestnutmux.example/chestnutmux/pkg/parser"
	"chestnutmux.example/chestnutmux/pkg/validator"
)

var (
	seed        = flag.Uint64("seed", 1, "seed of the faults and jobs")
	runDuration = flag.Duration("length", 12*time.Second, "time during which faults and jobs are drawn")
)

const (
	deployDir     = "../../deploy/kartli"
	operatorToken = "demo-operator-1"
	// jobEndTimeout limits the wait for the end of each accepted job after the faults. It covers the expiry of a worker lease,
	// the restart and the run time of the tasks.
	jobEndTimeout = 60 * time.Second
	// startTimeout limits the start of a host and the first publish of the configuration.
	startTimeout = 30 * time.Second
)

// Guards against violations of the guarantees under consecutive and simultaneous faults: refused jobs that run, tasks that run
// twice or after their completion, workers with exceeded capacity, final job states that change, and accepted jobs that never end.
func TestSoak(t *testing.T) {
	is := is.New(t)
	binDir := t.TempDir()
	cmd := exec.Command("go", "build", "-o", binDir+"/", "../../cmd/...")
	cmd.Stderr = os.Stderr
	is.NoErr(cmd.Run())
	workDir := t.TempDir()
	c, err := launcher.Start(launcher.Options{
		BinDir: binDir, DeployDir: deployDir, WorkDir: workDir, UseRelays: true,
		HostsPerDomain: map[model.DomainID]int{"kartli-a": 2, "kartli-b": 1, "imereti-a": 1},
		AdjustSettings: func(s *settings.Settings) {
			s.LeaseDurationMS, s.HostListPollIntervalMS, s.EvacuationBoundMS = 5000, 200, 5000
		},
	})
	is.NoErr(err)
	defer func() { is.NoErr(c.Stop()) }()
	publishConfig(is, c)
	s := &soakRun{t: t, cluster: c, rng: rand.New(rand.NewPCG(*seed, 2)), client: newJobClient()}
	s.run(*runDuration)
	s.clearFaults()
	s.checkResults()
	if t.Failed() {
		saveLogs(t, workDir)
	}
}

// publishConfig publishes the example configuration and waits until it is in force on all hosts.
func publishConfig(is *is.I, c *launcher.Cluster) {
	data, err := os.ReadFile(filepath.Join(deployDir, "config.hujson"))
	is.NoErr(err)
	configSet, err := parser.ParseConfig(data)
	is.NoErr(err)
	changes, err := differ.Diff(model.ConfigSet{}, configSet)
	is.NoErr(err)
	var v model.ConfigVersion
	is.NoErr(launcher.Await(startTimeout, func(ctx context.Context) error {
		v, err = c.Client(c.Hosts[0], operatorToken).Publish(ctx, model.PublishRequest{SchemaVersion: validator.SchemaVersion, Changes: changes})
		return err
	}))
	is.NoErr(c.AwaitVersion(startTimeout, operatorToken, v, c.Hosts...))
}

// saveLogs copies the logs of a failed run to the directory for temporary files, so that the failure can be analyzed.
func saveLogs(t *testing.T, workDir string) {
	targetDir := filepath.Join(os.TempDir(), fmt.Sprintf("chestnutmux-soak-%d", *seed))
	if err := os.CopyFS(targetDir, os.DirFS(workDir)); err != nil {
		t.Log("failed to save logs:", err)
		return
	}
	t.Log("logs saved in", targetDir)
}
