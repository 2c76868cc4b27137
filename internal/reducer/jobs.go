package reducer

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/internal/logclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// The bounds on final jobs. A quarter of a day at the design size is about 5,000 jobs; they are kept for late
// readers of the outcome and for repeated submissions, and take a few MB.
const (
	FinalKeep = 6 * time.Hour
	MaxFinal  = 10000
)

// Job is an accepted job with what the log knows beyond model.Job; the payload is dropped once the job is final.
type Job struct {
	model.Job
	Host            model.HostID `json:"host"`   // entry host that accepted it
	Digest          string       `json:"digest"` // of the spec as submitted
	Index           int          `json:"index"`  // of the entry in its record
	CancelRequested bool         `json:"cancel-requested,omitempty"`
}

// JobEventKind tells the kinds of job events apart.
type JobEventKind string

// The kinds of job events.
const (
	JobAccepted  JobEventKind = "accepted"
	JobRepeated  JobEventKind = "repeated" // the id was submitted again; the first submission stands
	JobStarted   JobEventKind = "started"
	JobEnded     JobEventKind = "ended"
	JobCancel    JobEventKind = "cancel" // the planner of the home failure domain is to end the job
	JobRehomed   JobEventKind = "rehomed"
	JobsReplaced JobEventKind = "replaced" // a snapshot replaced the state: read Live again
)

// JobEvent tells the planner and waiting callers what a record changed.
type JobEvent struct {
	Kind      JobEventKind
	Job       Job            // state after the change, zero for replaced
	From      model.DomainID // earlier home, for rehomed
	Identical bool           // whether a repeated submission equals the first
	RecordID  string         // of the record, with Index the place of the entry
	Index     int
}

// JobsSnapshot is the state of the jobs fold.
type JobsSnapshot struct {
	Position
	Live  []Job `json:"live,omitempty"`  // in the order of acceptance
	Final []Job `json:"final,omitempty"` // in the order of their end
}

// Jobs is the fold of the jobs stream; its zero value is ready for the first record.
type Jobs struct {
	// OnEvent is called for each change while a record is applied; it may be nil.
	OnEvent func(JobEvent)

	tail
	jobs    map[model.JobID]*Job
	final   []model.JobID // in the order of their end
	ignored int
	rec     logclient.Record
	index   int
}

// Get returns a job that is live or kept as final.
func (j *Jobs) Get(id model.JobID) (Job, bool) {
	job, ok := j.jobs[id]
	if !ok {
		return Job{}, false
	}
	return *job, true
}

// Submission returns the job that holds the id of a spec and whether it was submitted with the same spec.
func (j *Jobs) Submission(spec model.JobSpec) (job Job, identical, ok bool) {
	job, ok = j.Get(spec.ID)
	return job, ok && job.Digest == SpecDigest(spec), ok
}

// Live returns the jobs that are not final, in the order of acceptance.
func (j *Jobs) Live() []Job {
	var live []Job
	for _, job := range j.jobs {
		if !job.State.Final() {
			live = append(live, *job)
		}
	}
	slices.SortFunc(live, func(a, b Job) int {
		return cmp.Or(cmp.Compare(a.Offset, b.Offset), cmp.Compare(a.Index, b.Index), cmp.Compare(a.Spec.ID, b.Spec.ID))
	})
	return live
}

// Final returns the final jobs that are kept, in the order of their end.
func (j *Jobs) Final() []Job {
	var final []Job
	for _, id := range j.final {
		final = append(final, *j.jobs[id])
	}
	return final
}

// Ignored returns how many entries did not apply to the state of their job, such as a start by a former home.
func (j *Jobs) Ignored() int { return j.ignored }

// Apply folds one record.
func (j *Jobs) Apply(rec logclient.Record) {
	if j.gap {
		j.hold(rec)
		entries, _ := decode(rec.Data, jobFields)
		for _, e := range entries {
			if e.Snapshot != nil && e.Snapshot.Next <= rec.Offset && j.Restore(*e.Snapshot) {
				return
			}
		}
		return
	}
	if !j.admit(rec) {
		return
	}
	entries, malformed := decode(rec.Data, jobFields)
	j.malformed += malformed
	j.rec = logclient.Record{Offset: rec.Offset, ID: rec.ID}
	for i, e := range entries {
		j.index = i
		switch {
		case e.Submitted != nil:
			j.submitted(*e.Submitted)
		case e.Started != nil:
			j.started(*e.Started)
		case e.Ended != nil:
			j.ended(*e.Ended)
		case e.Cancel != nil:
			j.cancel(*e.Cancel)
		case e.Rehomed != nil:
			j.rehomed(*e.Rehomed)
		case e.Snapshot != nil:
			j.snapshotSeen()
		}
	}
	j.evict()
}

func (j *Jobs) now() time.Time { return time.UnixMilli(j.pos.NowMS).UTC() }

func (j *Jobs) emit(e JobEvent) {
	if j.OnEvent != nil {
		e.RecordID, e.Index = j.rec.ID, j.index
		j.OnEvent(e)
	}
}

func (j *Jobs) submitted(s Submitted) {
	if s.Spec.ID == "" {
		j.malformed++
		return
	}
	if p, err := json.Marshal(s.Spec.Payload); err == nil && len(s.Spec.Payload) > 0 {
		s.Spec.Payload = p // compact, as a snapshot would make it
	}
	digest := SpecDigest(s.Spec)
	if first, ok := j.jobs[s.Spec.ID]; ok {
		j.emit(JobEvent{Kind: JobRepeated, Job: *first, Identical: first.Digest == digest})
		return
	}
	if j.jobs == nil {
		j.jobs = map[model.JobID]*Job{}
	}
	job := &Job{
		Job: model.Job{
			Spec: s.Spec, Home: s.Home, State: model.JobQueued, AcceptedAt: j.now(), Offset: j.rec.Offset,
		},
		Host: s.Host, Digest: digest, Index: j.index,
	}
	j.jobs[s.Spec.ID] = job
	j.emit(JobEvent{Kind: JobAccepted, Job: *job})
}

// live returns a job that is not final, or counts the entry as ignored.
func (j *Jobs) live(id model.JobID, domain model.DomainID) *Job {
	job, ok := j.jobs[id]
	// Only the home failure domain decides about a job; the record of a former home came too late.
	if !ok || job.State.Final() || domain != job.Home {
		j.ignored++
		return nil
	}
	return job
}

func (j *Jobs) started(s Started) {
	job := j.live(s.Job, s.Domain)
	if job == nil {
		return
	}
	if s.Attempt <= job.Attempt {
		j.ignored++
		return
	}
	job.State, job.Attempt, job.StartedAt = model.JobRunning, s.Attempt, j.now()
	j.emit(JobEvent{Kind: JobStarted, Job: *job})
}

func (j *Jobs) ended(e Ended) {
	job := j.live(e.Job, e.Domain)
	if job == nil {
		return
	}
	if !e.State.Final() || e.Attempt < job.Attempt {
		j.ignored++
		return
	}
	job.State, job.Attempt, job.Error, job.EndedAt = e.State, e.Attempt, e.Error, j.now()
	job.Spec.Payload = nil
	j.final = append(j.final, e.Job)
	j.emit(JobEvent{Kind: JobEnded, Job: *job})
}

func (j *Jobs) cancel(c Cancel) {
	job, ok := j.jobs[c.Job]
	if !ok || job.State.Final() || job.CancelRequested {
		j.ignored++
		return
	}
	job.CancelRequested = true
	j.emit(JobEvent{Kind: JobCancel, Job: *job})
}

func (j *Jobs) rehomed(r Rehomed) {
	job := j.live(r.Job, r.From)
	if job == nil {
		return
	}
	job.Home, job.State = r.To, model.JobQueued
	j.emit(JobEvent{Kind: JobRehomed, Job: *job, From: r.From})
}

// evict forgets final jobs beyond their time or count.
func (j *Jobs) evict() {
	limit := j.now().Add(-FinalKeep)
	n := 0
	for n < len(j.final) && (len(j.final)-n > MaxFinal || j.jobs[j.final[n]].EndedAt.Before(limit)) {
		delete(j.jobs, j.final[n])
		n++
	}
	j.final = j.final[n:]
}

// Snapshot returns the state for another fold to start from.
func (j *Jobs) Snapshot() JobsSnapshot {
	return JobsSnapshot{Position: j.pos.clone(), Live: j.Live(), Final: j.Final()}
}

// Restore replaces the state by a snapshot that covers more records and reports whether it did. Held records that
// the snapshot does not cover are applied.
func (j *Jobs) Restore(s JobsSnapshot) bool {
	if !j.closes(s.Position) {
		return false
	}
	held := j.restore(s.Position)
	j.jobs, j.final = make(map[model.JobID]*Job, len(s.Live)+len(s.Final)), nil
	for _, job := range slices.Concat(s.Live, s.Final) {
		if _, ok := j.jobs[job.Spec.ID]; ok {
			j.malformed++
			continue
		}
		j.jobs[job.Spec.ID] = &job
		if job.State.Final() {
			j.final = append(j.final, job.Spec.ID)
		}
	}
	j.rec, j.index = logclient.Record{}, 0
	j.emit(JobEvent{Kind: JobsReplaced})
	for _, rec := range held {
		j.Apply(rec)
	}
	return true
}

// SpecDigest returns the digest by which repeated submissions are compared; the layout of the payload's JSON does
// not count.
func SpecDigest(spec model.JobSpec) string {
	b, err := json.Marshal(spec)
	if err != nil { // only a payload that is no JSON, which no decoded spec has
		return ""
	}
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:16])
}
