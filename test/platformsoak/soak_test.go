package platformsoak

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	seed     = flag.Uint64("seed", 1, "seed of the faults and jobs")
	length   = flag.Duration("length", 20*time.Second, "time during which jobs are handed in")
	pause    = flag.Duration("pause", 900*time.Millisecond, "mean time between two jobs")
	keepLogs = flag.String("keep", "", "directory to which the logs of a failed run are copied")
)

const (
	hostCount    = 5
	machineCount = 24
	troubleTime  = 14 * time.Second
	calmTime     = 11 * time.Second
	finishTime   = 14 * time.Second // the bound finish_s
)

// Guards against two runs of a task at once and against jobs that wait while there is room for them.
func TestPlatformSoak(t *testing.T) {
	is := is.New(t)
	s, err := startSite(t, hostCount, machineCount)
	is.NoErr(err)
	tr := &traffic{site: s, rng: rand.New(rand.NewPCG(*seed, 1)), jobs: map[string]*job{}}
	f := &faults{t: t, site: s, rng: rand.New(rand.NewPCG(*seed, 2))}
	c := &idleCheck{site: s, traffic: tr, faults: f, since: map[string]time.Time{}, reported: map[string]bool{}}
	s.tasks.Go(c.run)
	time.Sleep(contactTime)
	end := time.Now().Add(*length)
	tr.pending.Go(func() { tr.run(end, *pause) })
	f.run(end, min(troubleTime, *length), calmTime)
	tr.pending.Wait()
	time.Sleep(finishTime)
	findings := c.awaitEnds()
	starts := s.fleet.Starts()
	findings = append(findings, s.ledger.doubleRuns(starts)...)
	c.mu.Lock()
	findings = append(findings, c.findings...)
	c.mu.Unlock()
	t.Logf("seed %d: %d jobs accepted, %d starts, %d findings", *seed, len(tr.acceptedJobs()), len(starts), len(findings))
	finishSite(t, s, findings)
}

// startSite builds the program and starts a deployment.
func startSite(t *testing.T, hosts, machines int) (*site, error) {
	dir := t.TempDir()
	build := exec.Command("go", "build", "-o", filepath.Join(dir, "target")+"/", "../../cmd/chestnutmux")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return nil, err
	}
	return newSite(dir, *seed, hosts, machines)
}

// finishSite reports the findings, ends the deployment and keeps the logs of a failed run if asked to.
func finishSite(t *testing.T, s *site, findings []string) {
	for _, finding := range findings {
		s.record.Printf("%s", finding)
		t.Error(finding)
	}
	s.close()
	if !t.Failed() || *keepLogs == "" {
		return
	}
	target := filepath.Join(*keepLogs, fmt.Sprint(t.Name(), "-", *seed))
	if err := errors.Join(os.RemoveAll(filepath.Join(s.dir, "target")), os.RemoveAll(target), os.CopyFS(target, os.DirFS(s.dir))); err != nil {
		t.Error(err)
	}
}
