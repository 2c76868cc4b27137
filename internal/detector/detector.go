package detector

import (
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// The thresholds of the detector.
const (
	jobsToSuspect  = 2 // distinct jobs that fail in a row on one worker
	workersToFail  = 3 // distinct healthy workers that one job fails on
	firstProbation = 30 * time.Second
	maxProbation   = time.Hour
	maxHosts       = 16384 // workers remembered
)

type host struct {
	jobs      []model.JobID // distinct jobs that failed since the last success
	until     time.Time     // end of the quarantine, zero means none
	probation time.Duration // length of the last quarantine
	trial     bool          // a trial task may run or runs
}

// Detector remembers failures of workers and jobs; its zero value is empty.
type Detector struct {
	hosts map[model.HostID]*host
	jobs  map[model.JobID][]model.HostID // distinct workers each unfinished job failed on
}

// Verdict is what a failure led to.
type Verdict struct {
	Quarantine bool // the worker gets no work until its probation ends
	FailJob    bool // the job has failed on enough distinct healthy workers
}

// Failed records that a task of a job failed on a worker.
func (d *Detector) Failed(job model.JobID, worker model.HostID, now time.Time) Verdict {
	if d.hosts == nil {
		d.hosts = map[model.HostID]*host{}
		d.jobs = map[model.JobID][]model.HostID{}
	}
	h := d.hosts[worker]
	if h == nil {
		d.trim()
		h = &host{}
		d.hosts[worker] = h
	}
	if !slices.Contains(h.jobs, job) && len(h.jobs) < 4*jobsToSuspect {
		h.jobs = append(h.jobs, job)
	}
	if !slices.Contains(d.jobs[job], worker) {
		d.jobs[job] = append(d.jobs[job], worker)
	}
	v := Verdict{}
	suspects := 0
	for _, j := range h.jobs {
		if !d.failedElsewhere(j, worker) {
			suspects++
		}
	}
	if h.until.IsZero() && suspects >= jobsToSuspect || h.trial && !d.failedElsewhere(job, worker) {
		d.quarantine(h, now)
		v.Quarantine = true
	}
	healthy := 0
	for _, w := range d.jobs[job] {
		if x := d.hosts[w]; x == nil || x.until.IsZero() {
			healthy++
		}
	}
	if v.FailJob = healthy >= workersToFail; v.FailJob {
		for _, w := range d.jobs[job] {
			if x := d.hosts[w]; x != nil {
				x.jobs = slices.DeleteFunc(x.jobs, func(j model.JobID) bool { return j == job })
			}
		}
	}
	return v
}

// trim bounds the memory spent on workers with few failures.
func (d *Detector) trim() {
	if len(d.hosts) < maxHosts {
		return
	}
	for w, h := range d.hosts {
		if h.until.IsZero() {
			delete(d.hosts, w)
		}
	}
}

// failedElsewhere reports whether a job failed on a worker that is not quarantined, other than the given one.
func (d *Detector) failedElsewhere(job model.JobID, worker model.HostID) bool {
	for _, w := range d.jobs[job] {
		if h := d.hosts[w]; w != worker && (h == nil || h.until.IsZero()) {
			return true
		}
	}
	return false
}

func (d *Detector) quarantine(h *host, now time.Time) {
	h.probation = min(max(firstProbation, 2*h.probation), maxProbation)
	h.until = now.Add(h.probation)
	h.trial = false
	h.jobs = h.jobs[:0]
}

// Succeeded records that a task finished well on a worker; it ends a probation.
func (d *Detector) Succeeded(worker model.HostID) {
	if h := d.hosts[worker]; h != nil {
		if h.until.IsZero() || h.trial {
			delete(d.hosts, worker)
		}
	}
}

// Due appends the quarantined workers that may get their one trial task now, in order of their ids.
func (d *Detector) Due(to []model.HostID, now time.Time) []model.HostID {
	for w, h := range d.hosts {
		if !h.until.IsZero() && !h.trial && !now.Before(h.until) {
			to = append(to, w)
		}
	}
	slices.Sort(to)
	return to
}

// FailedOn returns the workers that a job failed on; the slice must not be changed.
func (d *Detector) FailedOn(job model.JobID) []model.HostID { return d.jobs[job] }

// StartTrial records that a trial task was placed on a worker.
func (d *Detector) StartTrial(worker model.HostID) {
	if h := d.hosts[worker]; h != nil {
		h.trial = true
	}
}

// EndTrial records that a trial task ended without a verdict; another may follow.
func (d *Detector) EndTrial(worker model.HostID) {
	if h := d.hosts[worker]; h != nil {
		h.trial = false
	}
}

// Quarantined reports whether a worker is in quarantine or on trial.
func (d *Detector) Quarantined(worker model.HostID) bool {
	h := d.hosts[worker]
	return h != nil && !h.until.IsZero()
}

// NextTrial returns the earliest end of a quarantine after now, zero when there is none.
func (d *Detector) NextTrial(now time.Time) time.Time {
	var t time.Time
	for _, h := range d.hosts {
		if !h.until.IsZero() && !h.trial && h.until.After(now) && (t.IsZero() || h.until.Before(t)) {
			t = h.until
		}
	}
	return t
}

// ForgetJob drops what is known about a job that has an outcome.
func (d *Detector) ForgetJob(job model.JobID) { delete(d.jobs, job) }
