package reducer

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"chestnutmux.example/chestnutmux/internal/logclient"
	"chestnutmux.example/chestnutmux/pkg/model"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var jobs = subject{
	create: func() fold { return &Jobs{} },
	draw: func(t *rapid.T) any {
		id := pick(t, "job", model.JobID("j1"), "j2", "j3", "j4")
		domain := pick(t, "domain", model.DomainID("d1"), "d2")
		attempt := rapid.IntRange(0, 3).Draw(t, "attempt")
		switch rapid.IntRange(0, 4).Draw(t, "kind") {
		case 0:
			return JobEntry{Submitted: &Submitted{
				Spec: model.JobSpec{ID: id, Workspace: "w", RunMS: model.Millis(attempt), Payload: json.RawMessage(`{"a": 1}`)},
				Home: domain, Host: "h",
			}}
		case 1:
			return JobEntry{Started: &Started{Job: id, Domain: domain, Attempt: attempt}}
		case 2:
			return JobEntry{Ended: &Ended{
				Job: id, Domain: domain, Attempt: attempt, Error: "e",
				State: pick(t, "state", model.JobFinished, model.JobFailed, model.JobCancelled, model.JobNotRun, model.JobRunning),
			}}
		case 3:
			return JobEntry{Cancel: &Cancel{Job: id}}
		}
		return JobEntry{Rehomed: &Rehomed{Job: id, From: domain, To: pick(t, "to", model.DomainID("d1"), "d2")}}
	},
	snapshot: func(f fold) any { return f.(*Jobs).Snapshot() },
	restore:  func(f fold, b []byte) bool { return f.(*Jobs).Restore(decodeAs[JobsSnapshot](b)) },
	entry: func(b []byte) any {
		s := decodeAs[JobsSnapshot](b)
		return JobEntry{Snapshot: &s}
	},
	essence: func(f fold) any {
		s := f.(*Jobs).Snapshot()
		for _, list := range [][]Job{s.Live, s.Final} {
			for i := range list {
				list[i].Offset, list[i].Index = 0, 0
			}
		}
		return [][]Job{s.Live, s.Final}
	},
}

// A job must be accepted once and end once, whatever the order of the records.
func TestJobsEndOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		accepted, ended := map[model.JobID]int{}, map[model.JobID]int{}
		j := &Jobs{OnEvent: func(e JobEvent) {
			switch e.Kind {
			case JobAccepted:
				accepted[e.Job.Spec.ID]++
			case JobEnded:
				ended[e.Job.Spec.ID]++
			case JobStarted, JobRehomed, JobCancel:
				if ended[e.Job.Spec.ID] > 0 {
					t.Fatalf("%s after the end of %s", e.Kind, e.Job.Spec.ID)
				}
			}
		}}
		for i := range 60 {
			j.Apply(logclient.Record{Offset: model.Offset(i), ID: fmt.Sprint(i), Data: encode([]any{jobs.draw(t)})})
		}
		for id, n := range accepted {
			if n != 1 || ended[id] > 1 {
				t.Fatalf("job %s accepted %d times, ended %d times", id, n, ended[id])
			}
		}
	})
}

// A repeated submission is answered from the first: identical specs are one job, others a conflict of ids.
func TestRepeatedSubmission(t *testing.T) {
	is := is.New(t)
	var events []JobEvent
	j := &Jobs{OnEvent: func(e JobEvent) { events = append(events, e) }}
	spec := model.JobSpec{ID: "j", Workspace: "w", Payload: json.RawMessage(`{"a":1}`)}
	other := spec
	other.Workspace = "v"
	j.Apply(logclient.Record{ID: "r", AtMS: epoch.UnixMilli(), Data: encode([]JobEntry{
		{Submitted: &Submitted{Spec: spec, Home: "d", Host: "h1"}},
		{Submitted: &Submitted{Spec: spec, Home: "e", Host: "h2"}},
		{Submitted: &Submitted{Spec: other, Home: "d", Host: "h2"}},
		{Ended: &Ended{Job: "j", Domain: "d", State: model.JobNotRun}},
	})})
	is.Equal(events[0].Job.Host, model.HostID("h1"))
	is.True(events[1].Kind == JobRepeated && events[1].Identical && events[1].Index == 1)
	is.True(events[2].Kind == JobRepeated && !events[2].Identical)
	spec.Payload = json.RawMessage(`{ "a": 1 }`)
	job, identical, ok := j.Submission(spec)
	is.True(ok && identical && job.Home == "d") // also after the payload was dropped
	later := epoch.Add(FinalKeep + time.Second).UnixMilli()
	j.Apply(logclient.Record{Offset: 1, ID: "s", AtMS: later, Data: encode([]any{})})
	_, ok = j.Get("j")
	is.True(!ok) // final jobs do not pile up
}

// A planner that has lost a job to another home must not start or end it there, nor an old attempt end a new one.
func TestFormerHomeAndAttemptAreIgnored(t *testing.T) {
	is := is.New(t)
	j := &Jobs{}
	j.Apply(logclient.Record{ID: "r", Data: encode([]JobEntry{
		{Submitted: &Submitted{Spec: model.JobSpec{ID: "j"}, Home: "d"}},
		{Started: &Started{Job: "j", Domain: "d", Attempt: 1}},
		{Rehomed: &Rehomed{Job: "j", From: "d", To: "e"}},
		{Started: &Started{Job: "j", Domain: "d", Attempt: 2}},
		{Ended: &Ended{Job: "j", Domain: "d", Attempt: 1, State: model.JobFinished}},
		{Rehomed: &Rehomed{Job: "j", From: "d", To: "f"}},
		{Started: &Started{Job: "j", Domain: "e", Attempt: 1}},
	})})
	job, _ := j.Get("j")
	is.True(job.Home == "e" && job.State == model.JobQueued && job.Attempt == 1)
	is.Equal(j.Ignored(), 4)
	j.Apply(logclient.Record{Offset: 1, ID: "s", Data: encode([]JobEntry{
		{Started: &Started{Job: "j", Domain: "e", Attempt: 2}},
		{Ended: &Ended{Job: "j", Domain: "e", Attempt: 1, State: model.JobFailed}},
	})})
	job, _ = j.Get("j")
	is.True(job.State == model.JobRunning && job.Attempt == 2)
}
