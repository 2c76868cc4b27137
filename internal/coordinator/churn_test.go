package coordinator

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"chestnutmux.example/chestnutmux/internal/fake/log"
	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

var (
	firstChurnSeed = flag.Uint64("first-churn-seed", 1, "first seed of TestRandomChurn")
	churnSeeds     = flag.Uint64("churn-seeds", 6, "number of seeds of TestRandomChurn")
	churnFaults    = flag.String("churn-faults", "", "faults of TestRandomChurn, separated by commas; empty means all")
	churnWithout   = flag.String("churn-without", outlivesRestart, "faults that TestRandomChurn leaves out, separated by commas")
)

// churnFault is a kind of fault that TestRandomChurn injects.
type churnFault struct {
	name   string
	weight int
	inject func(*churnRun)
}

var allChurnFaults = []churnFault{
	{"drain", 3, (*churnRun).drainWorker},
	{"arrive", 1, (*churnRun).addWorker},
	{"restart-worker", 4, (*churnRun).restartWorker},
	{"fail-runs", 1, (*churnRun).failRuns},
	{"link", 6, (*churnRun).disturbLink},
	{"worker-cut", 2, (*churnRun).disturbWorker},
	{"kill-leader", 3, (*churnRun).killLeader},
	{"resign", 1, (*churnRun).resignLeader},
	{"kill-all", 1, (*churnRun).killAllHosts},
	{"log-cut", 2, (*churnRun).cutLog},
	{"log-cut-split", 2, (*churnRun).cutLogAndSplitWorkers},
	{"log-down", 1, (*churnRun).stopLog},
	{"list", 2, (*churnRun).disturbList},
	{"trim", 2, (*churnRun).trimLog},
	{"trim-takeover", 1, (*churnRun).trimLogAtTakeover},
}

// outlivesRestart is the fault under which a restarted worker carries out late requests of before; question 1 of docs/platform.md.
const outlivesRestart = "late-after-restart"

// Guards against tasks that run twice while workers come, go and restart beside changes of the leader, late requests and cuts.
func TestRandomChurn(t *testing.T) {
	t.Parallel()
	for seed := *firstChurnSeed; seed < *firstChurnSeed+*churnSeeds; seed++ {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				r := newChurnRun(t, seed)
				defer r.close()
				r.awaitLeader()
				r.injectFaultsAndJobs(60*time.Second, r.injectRandom)
				r.clearFaults()
				r.awaitJobs()
				r.checkWorkerViolations()
			})
			if t.Failed() {
				fmt.Fprintln(os.Stderr, "failed seed:", seed)
			}
		})
	}
}

// crashesToFail is the number of workers that have to end under a task before its job may fail.
const crashesToFail = 3

// churnRun is a run of TestRandomChurn.
type churnRun struct {
	*randomRun
	list   *workerList
	links  []*churnLink // of each host
	faults []churnFault
	added  int // number of workers that have arrived
}

func newChurnRun(t *testing.T, seed uint64) *churnRun {
	c := newCluster(t, seed, 4, 2, 5)
	r := &churnRun{randomRun: &randomRun{cluster: c}, list: &workerList{fleet: c.fleet}}
	for i, w := range c.workers {
		c.fleet.SetClockRate(w.ID, []float64{1, 0.98, 1.01}[i%3])
		r.list.entries = append(r.list.entries, listedWorker{Worker: w})
	}
	for _, h := range c.hosts {
		l := newChurnLink(c, h, selectsFault(outlivesRestart))
		r.links = append(r.links, l)
		h.restartWith(func() { h.workers, h.wrapLog, h.registry = l, func(journaler.Log) journaler.Log { return l }, r.list })
	}
	for _, f := range allChurnFaults {
		if selectsFault(f.name) {
			r.faults = append(r.faults, slices.Repeat([]churnFault{f}, f.weight)...)
		}
	}
	return r
}

// selectsFault reports whether the flags select a fault.
func selectsFault(name string) bool {
	return (*churnFaults == "" || slices.Contains(strings.Split(*churnFaults, ","), name)) && !slices.Contains(strings.Split(*churnWithout, ","), name)
}

func (r *churnRun) injectRandom() {
	f := r.faults[r.rng.IntN(len(r.faults))]
	r.note("fault", f.name)
	f.inject(r)
}

// note writes a line about a fault or a request between the log lines of the hosts.
func (c *cluster) note(args ...any) {
	_, _ = fmt.Fprintf(&c.logs, "%s [TEST] %s", time.Now().Format("2006-01-02T15:04:05.000Z0700"), fmt.Sprintln(args...))
}

// duration returns a random duration from minimum up to maximum.
func (r *churnRun) duration(minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(r.rng.Int64N(int64(maximum-minimum)))
}

// after runs f in the background after a time.
func after(d time.Duration, f func()) {
	go func() {
		time.Sleep(d)
		f()
	}()
}

// randomEntry returns the ID of a random listed worker.
func (r *churnRun) randomEntry() model.HostID {
	r.list.mu.Lock()
	defer r.list.mu.Unlock()
	return r.list.entries[r.rng.IntN(len(r.list.entries))].ID
}

// drainWorker lets a worker drain and leave. Its entry stays for up to 3 s, and another worker takes its place.
func (r *churnRun) drainWorker() {
	id := r.randomEntry()
	drain := r.duration(time.Second, 10*time.Second)
	r.list.mu.Lock()
	i := slices.IndexFunc(r.list.entries, func(e listedWorker) bool { return e.ID == id })
	if !r.list.entries[i].leavesAt.IsZero() {
		r.list.mu.Unlock()
		return
	}
	r.list.entries[i].leavesAt = time.Now().Add(drain)
	r.list.mu.Unlock()
	r.note("drain", id, drain)
	overtime, linger := r.duration(0, 4*time.Second), r.duration(0, 3*time.Second)
	r.addWorker()
	after(drain+overtime, func() {
		r.note("leave", id)
		r.fleet.StopWorker(id, time.Now())
		time.Sleep(linger)
		r.list.mu.Lock()
		defer r.list.mu.Unlock()
		r.list.entries = slices.DeleteFunc(r.list.entries, func(e listedWorker) bool { return e.ID == id })
	})
}

func (r *churnRun) addWorker() {
	info := model.Worker{
		ID: model.HostID(fmt.Sprint("n", r.added)), Address: "-", Rack: model.RackID(fmt.Sprint("r", r.added%2)), Capacity: r.workers[0].Capacity,
		State: model.WorkerReady,
	}
	r.added++
	r.fleet.AddWorker(info.ID, info.Capacity, time.Now())
	r.list.mu.Lock()
	defer r.list.mu.Unlock()
	r.list.entries = append(r.list.entries, listedWorker{Worker: info})
}

func (r *churnRun) restartWorker() {
	id := r.randomEntry()
	r.note("restart", id)
	r.fleet.RestartWorker(id, time.Now())
}

func (r *churnRun) failRuns() {
	id := r.randomEntry()
	r.fleet.SetFailRuns(id, true)
	after(r.duration(time.Second, 5*time.Second), func() { r.fleet.SetFailRuns(id, false) })
}

func (r *churnRun) randomLinkFault() linkFault {
	faults := []linkFault{linkRefused, linkSilent, linkOneWay, linkLate, linkReset, linkResetLate, linkSlow}
	return faults[r.rng.IntN(len(faults))]
}

// leaderIndex returns the index of the leader, or of a random host.
func (r *churnRun) leaderIndex() int {
	if i := slices.Index(r.hosts, r.leader()); i >= 0 && r.rng.IntN(4) > 0 {
		return i
	}
	return r.rng.IntN(len(r.hosts))
}

// disturbLink disturbs the calls from one host to one worker, which may restart meanwhile.
func (r *churnRun) disturbLink() {
	i, id, f := r.leaderIndex(), r.randomEntry(), r.randomLinkFault()
	r.note("link", r.hosts[i].id, id, f)
	r.links[i].setWorker(id, f)
	if r.rng.IntN(3) == 0 && selectsFault("restart-worker") {
		after(r.duration(0, 3*time.Second), func() { r.fleet.RestartWorker(id, time.Now()) })
	}
	after(r.duration(500*time.Millisecond, 9*time.Second), func() { r.links[i].setWorker(id, linkSound) })
}

// disturbWorker disturbs the calls from all hosts to one worker.
func (r *churnRun) disturbWorker() {
	id, f, d := r.randomEntry(), r.randomLinkFault(), r.duration(time.Second, 14*time.Second)
	r.note("worker-cut", id, f, d)
	r.setLinks(id, f)
	after(d, func() { r.setLinks(id, linkSound) })
}

func (r *churnRun) setLinks(id model.HostID, f linkFault) {
	for _, l := range r.links {
		l.setWorker(id, f)
	}
}

func (r *churnRun) killLeader() {
	if l := r.leader(); l != nil {
		r.note("kill", l.id)
		l.restartWith(func() {})
	}
}

func (r *churnRun) resignLeader() {
	l := r.leader()
	if l == nil {
		return
	}
	r.note("resign", l.id)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	l.coordinator.Resign(ctx)
	l.restartWith(func() {})
}

// killAllHosts ends all hosts at once and starts them again within 2 s.
func (r *churnRun) killAllHosts() {
	r.note("kill all")
	for _, h := range r.hosts {
		h.cancel()
	}
	for _, i := range r.rng.Perm(len(r.hosts)) {
		time.Sleep(r.duration(0, 500*time.Millisecond))
		r.hosts[i].start()
	}
}

// randomLogFaults returns faults of reads, of appends, or of both.
func (r *churnRun) randomLogFaults() (read, appends log.CallFault) {
	faults := []log.CallFault{log.FaultUnavailable, log.FaultRequestLost, log.FaultResponseLost}
	f := faults[r.rng.IntN(len(faults))]
	switch r.rng.IntN(3) {
	case 0:
		return f, log.NoFault
	case 1:
		return log.NoFault, f
	}
	return f, f
}

// cutLog cuts a host off from the log, which still reaches the workers.
func (r *churnRun) cutLog() {
	i := r.leaderIndex()
	read, appends := r.randomLogFaults()
	d := r.duration(5*time.Second, 30*time.Second)
	r.note("log-cut", r.hosts[i].id, read, appends, d)
	r.links[i].setLog(read, appends)
	after(d, func() { r.links[i].setLog(log.NoFault, log.NoFault) })
}

// cutLogAndSplitWorkers cuts a host off from the log, and the other hosts off from some workers.
func (r *churnRun) cutLogAndSplitWorkers() {
	i := r.leaderIndex()
	read, appends := r.randomLogFaults()
	d := r.duration(5*time.Second, 30*time.Second)
	r.links[i].setLog(read, appends)
	ids := []model.HostID{r.randomEntry(), r.randomEntry(), r.randomEntry()}
	r.note("log-cut-split", r.hosts[i].id, read, appends, d, ids)
	set := func(f linkFault) {
		for j, l := range r.links {
			for _, id := range ids {
				if j != i {
					l.setWorker(id, f)
				}
			}
		}
	}
	set(linkSilent)
	after(d, func() {
		r.links[i].setLog(log.NoFault, log.NoFault)
		set(linkSound)
	})
}

func (r *churnRun) stopLog() {
	faults := []log.CallFault{log.FaultUnavailable, log.FaultRequestLost, log.FaultResponseLost}
	r.setLogFault(faults[r.rng.IntN(len(faults))])
	after(r.duration(time.Second, 8*time.Second), func() { r.setLogFault(log.NoFault) })
}

// disturbList empties the list of workers or keeps it as it is for a time. The leader may change within this time.
func (r *churnRun) disturbList() {
	until := time.Now().Add(r.duration(500*time.Millisecond, 6*time.Second))
	r.list.mu.Lock()
	if r.rng.IntN(2) == 0 {
		r.note("list empty until", until)
		r.list.hidden = until
	} else {
		r.note("list old until", until)
		r.list.frozen = r.list.currentLocked(time.Now())
		r.list.oldTill = until
	}
	r.list.mu.Unlock()
	if r.rng.IntN(2) == 0 && selectsFault("kill-leader") {
		time.Sleep(r.duration(0, 2*time.Second))
		r.killLeader()
	}
}

// trimLog makes hosts that are behind load a snapshot.
func (r *churnRun) trimLog() {
	r.log.Expire("jobs")
}

// trimLogAtTakeover lets a host miss the next takeover, which is trimmed from the log when it can read again.
func (r *churnRun) trimLogAtTakeover() {
	i := r.leaderIndex()
	r.note("trim-takeover", r.hosts[i].id)
	r.links[i].setLog(log.FaultUnavailable, log.FaultUnavailable)
	after(r.duration(1500*time.Millisecond, 5*time.Second), func() {
		r.log.Expire("jobs")
		r.links[i].setLog(log.NoFault, log.NoFault)
	})
}

// clearFaults waits until the faults have ended, and then clears those that others have replaced.
func (r *churnRun) clearFaults() {
	time.Sleep(30 * time.Second)
	r.randomRun.clearFaults()
	for _, l := range r.links {
		l.clear()
	}
	r.list.mu.Lock()
	defer r.list.mu.Unlock()
	for _, e := range r.list.entries {
		r.fleet.SetFailRuns(e.ID, false)
	}
}

// awaitJobs waits until all jobs have ended, and checks that those that have failed have lost enough runs with their workers.
func (r *churnRun) awaitJobs() {
	r.awaitEnd(3*time.Minute, r.jobs...)
	for _, id := range r.jobs {
		st, lost := r.state(id), r.fleet.LostRuns(id)
		if st == model.JobFailed && lost < crashesToFail || st == model.JobCancelled && !r.cancelled[id] {
			r.t.Errorf("job %s is %s, a task of it has lost %d runs in restarts of workers", id, st, lost)
		}
	}
}
