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
	seed   = flag.Uint64("seed", 1, "seed of the faults and jobs")
	length = flag.Duration("length", 12*time.Second, "time during which faults and jobs are drawn")
)

const (
	deploy        = "../../deploy/kartli"
	operatorToken = "demo-operator-1"
	// mendTime bounds the time from the end of the faults until the last job has ended: a lease, its restart and its work.
	mendTime = 60 * time.Second
	// startTime bounds the start of the deployment.
	startTime = 30 * time.Second
)

// Guards against promises that break under faults in series and at once: a job that was refused and runs, a task that
// runs twice or after its end, a worker beyond its room, states that go back, accepted jobs that do not end.
func TestSoak(t *testing.T) {
	is := is.New(t)
	bin := t.TempDir()
	build := exec.Command("go", "build", "-o", bin+"/", "../../cmd/...")
	build.Stderr = os.Stderr
	is.NoErr(build.Run())
	dir := t.TempDir()
	c, err := launcher.Start(launcher.Options{
		BinDir: bin, DeployDir: deploy, WorkDir: dir, UseRelays: true, HostsPerDomain: map[model.DomainID]int{"kartli-a": 2, "kartli-b": 1, "imereti-a": 1},
		AdjustSettings: func(s *settings.Settings) { s.TaskLease, s.HostListPollInterval = 5000, 200 },
	})
	is.NoErr(err)
	defer func() { is.NoErr(c.Stop()) }()
	publish(is, c)
	s := &soak{t: t, cluster: c, rng: rand.New(rand.NewPCG(*seed, 2)), callers: newCallers()}
	s.play(*length)
	s.mend()
	s.check()
	if t.Failed() {
		keepLogs(t, dir)
	}
}

// publish puts the example configuration in force on all hosts.
func publish(is *is.I, c *launcher.Cluster) {
	data, err := os.ReadFile(filepath.Join(deploy, "config.hujson"))
	is.NoErr(err)
	set, err := parser.ParseConfig(data)
	is.NoErr(err)
	changes, err := differ.Diff(model.ConfigSet{}, set)
	is.NoErr(err)
	var v model.ConfigVersion
	is.NoErr(launcher.Await(startTime, func(ctx context.Context) error {
		v, err = c.Client(c.Hosts[0], operatorToken).Publish(ctx, model.PublishRequest{SchemaVersion: validator.SchemaVersion, Changes: changes})
		return err
	}))
	is.NoErr(c.AwaitVersion(startTime, operatorToken, v, c.Hosts...))
}

// keepLogs copies the logs of a failed run beside the test, so that the finding can be traced.
func keepLogs(t *testing.T, dir string) {
	to := filepath.Join(os.TempDir(), fmt.Sprintf("chestnutmux-soak-%d", *seed))
	if err := os.CopyFS(to, os.DirFS(dir)); err != nil {
		t.Log("logs not kept:", err)
		return
	}
	t.Log("logs kept in", to)
}
