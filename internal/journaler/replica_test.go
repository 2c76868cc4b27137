package journaler

import (
	"encoding/json"
	"flag"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// The seed of the property tests is fixed, so that failures are reproducible; flags of the test run override it.
func init() {
	_ = flag.Set("rapid.seed", "1")
}

func submissionRecord(t interface{ Fatal(...any) }, id model.JobID) Record {
	return mustRecord(t)(NewSubmissionRecord(&model.Submission{ID: id, Workspace: "w", Queue: model.Queue{ID: "q"}, Steps: []model.Step{{Count: 1}}}))
}

func progressRecord(t interface{ Fatal(...any) }, id model.JobID, fence model.FencingToken, st model.JobState) Record {
	return mustRecord(t)(NewProgressRecord(id, &Progress{Fence: fence, State: st}))
}

func cancellationRecord(t interface{ Fatal(...any) }, id model.JobID) Record {
	return mustRecord(t)(NewCancellationRecord(id, "w"))
}

func mustRecord(t interface{ Fatal(...any) }) func(Record, error) Record {
	return func(r Record, err error) Record {
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
}

// applyInOrder applies records at consecutive offsets.
func applyInOrder(rep *Replica, records ...Record) {
	for _, r := range records {
		r.Offset = rep.NextOffset()
		rep.Apply(r)
	}
}

// Guards against the retry of a submission that resets the state of its job, and against wrong counts of queued jobs.
func TestRetriedSubmission(t *testing.T) {
	is := is.New(t)
	rep := &Replica{}
	applyInOrder(rep, submissionRecord(t, "a"), submissionRecord(t, "b"))
	is.Equal(rep.QueuedJobCount("q"), 2)
	applyInOrder(rep, progressRecord(t, "a", 1, model.JobRunning), submissionRecord(t, "a"))
	is.Equal(rep.QueuedJobCount("q"), 1)
	is.Equal(rep.QueuedJobCounts("w")["q"], 1)
	applyInOrder(rep, progressRecord(t, "a", 1, model.JobFinished), submissionRecord(t, "a"), progressRecord(t, "a", 2, model.JobRunning))
	st, _, ok := rep.JobState("a")
	is.True(ok)
	is.Equal(st, model.JobFinished) // a final state never changes
}

// Guards against a cancellation that has no effect because it precedes the submission in the log.
func TestCancellationBeforeSubmission(t *testing.T) {
	is := is.New(t)
	rep := &Replica{}
	applyInOrder(rep, cancellationRecord(t, "a"), submissionRecord(t, "a"))
	st, _, _ := rep.JobState("a")
	is.Equal(st, model.JobCancelled)
	is.Equal(rep.QueuedJobCount("q"), 0)
	other := mustRecord(t)(NewCancellationRecord("b", "another"))
	applyInOrder(rep, other, submissionRecord(t, "b"))
	st, _, _ = rep.JobState("b")
	is.Equal(st, model.JobQueued) // another workspace can't cancel the job
}

// Guards against a late record of a former leader that overwrites its successor's records.
func TestLowerFenceIsIgnored(t *testing.T) {
	is := is.New(t)
	rep := &Replica{}
	applyInOrder(rep, submissionRecord(t, "a"), progressRecord(t, "a", 2, model.JobRunning), progressRecord(t, "a", 1, model.JobFailed))
	st, _, _ := rep.JobState("a")
	is.Equal(st, model.JobRunning)
	applyInOrder(rep, mustRecord(t)(NewTermRecord(Term{Fence: 2, Nonce: "x"})), mustRecord(t)(NewTermRecord(Term{Fence: 2, Nonce: "y"})), mustRecord(t)(NewTermRecord(Term{Fence: 1, Nonce: "z"})))
	term, leaderRecords := rep.Term()
	is.Equal(term.Nonce, "x") // a term belongs to the first host that wrote its fencing token
	is.Equal(leaderRecords, uint64(5))
}

// Guards against a cancelled job that is later shown as finished, because the leader wrote the final state before it read
// the cancellation.
func TestCancellationBeforeFinalState(t *testing.T) {
	is := is.New(t)
	rep := &Replica{}
	applyInOrder(rep, submissionRecord(t, "a"), cancellationRecord(t, "a"), progressRecord(t, "a", 1, model.JobFinished))
	st, _, _ := rep.JobState("a")
	is.Equal(st, model.JobCancelled)
	applyInOrder(rep, submissionRecord(t, "b"), progressRecord(t, "b", 1, model.JobFinished), cancellationRecord(t, "b"))
	st, _, _ = rep.JobState("b")
	is.Equal(st, model.JobFinished)
}

// Guards against a record that can't be decoded and prevents later records from being applied.
func TestUndecodableRecordsAreIgnored(t *testing.T) {
	is := is.New(t)
	rep := &Replica{}
	applyInOrder(rep, Record{Key: "job/x", Value: []byte("{")}, Record{Key: "", Value: []byte{1, 2}}, Record{Key: "unknown/x", Value: []byte("1")}, submissionRecord(t, "a"))
	_, _, ok := rep.JobState("a")
	is.True(ok)
	is.Equal(len(rep.Jobs()), 1)
}

// Guards against a host that has loaded a snapshot and shows other job states than a host that has applied every record.
func TestSnapshotEqualsReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replayed, newest := &Replica{}, map[string]Record{}
		ids := []model.JobID{"a", "b", "c"}
		fence := model.FencingToken(1)
		for range rapid.IntRange(1, 40).Draw(t, "records") {
			id := rapid.SampledFrom(ids).Draw(t, "job")
			var r Record
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0, 1:
				r = submissionRecord(t, id)
			case 2:
				// Hosts write no cancellation for a job in a final state.
				if st, _, ok := replayed.JobState(id); ok && st.IsFinal() {
					continue
				}
				r = cancellationRecord(t, id)
			case 3:
				// A leader writes no progress for a job in a final state.
				if j, ok := replayed.Job(id); !ok || j.Progress.State.IsFinal() {
					continue
				}
				r = progressRecord(t, id, fence, rapid.SampledFrom([]model.JobState{model.JobRunning, model.JobFinished, model.JobFailed}).Draw(t, "state"))
			case 4:
				fence++
				r = mustRecord(t)(NewTermRecord(Term{Fence: fence, Nonce: "n"}))
			}
			r.Offset = replayed.NextOffset()
			replayed.Apply(r)
			newest[r.Key] = r
		}
		var snapshot []Record
		for _, r := range newest {
			snapshot = append(snapshot, r)
		}
		loaded := &Replica{}
		loaded.LoadSnapshot(snapshot, replayed.NextOffset())
		if a, b := describeState(replayed), describeState(loaded); a != b {
			t.Fatalf("replayed %s, loaded %s", a, b)
		}
		if replayed.QueuedJobCount("q") != loaded.QueuedJobCount("q") {
			t.Fatalf("queued jobs: replayed %d, loaded %d", replayed.QueuedJobCount("q"), loaded.QueuedJobCount("q"))
		}
	})
}

// describeState returns the states of all jobs and the fencing token of the term.
func describeState(rep *Replica) string {
	var out []string
	for _, j := range rep.Jobs() {
		out = append(out, string(j.Submission.ID)+"="+string(j.State()))
	}
	slices.Sort(out)
	term, _ := rep.Term()
	data, _ := json.Marshal(map[string]any{"jobs": out, "fence": term.Fence})
	return string(data)
}

// Guards against addresses of hosts that are out of date because the ordered list is kept between changes.
func TestHostAddresses(t *testing.T) {
	is := is.New(t)
	rep := &Replica{}
	is.Equal(len(rep.HostAddresses()), 0)
	a, b := HostAddress{Host: "a", Address: "127.0.0.1:1"}, HostAddress{Host: "b", Address: "127.0.0.1:2"}
	moved := HostAddress{Host: "a", Address: "127.0.0.1:3"}
	for _, step := range []struct {
		change HostAddress
		want   []HostAddress
	}{{b, []HostAddress{b}}, {a, []HostAddress{a, b}}, {moved, []HostAddress{moved, b}}} {
		r, err := NewHostRecord(step.change)
		is.NoErr(err)
		rep.Apply(r)
		is.Equal(rep.HostAddresses(), step.want)
	}
	rep.AddHostAddresses([]HostAddress{{Host: "c"}})
	is.Equal(len(rep.HostAddresses()), 3)
	rep.Apply(Record{Key: kindHost + "c"})
	is.Equal(rep.HostAddresses(), []HostAddress{moved, b})
}

// Guards against submission records of another writer that no leader can plan. They would end the term of one leader after the other.
func TestOddSubmissionRecordsAreIgnored(t *testing.T) {
	is := is.New(t)
	rep := &Replica{}
	for _, value := range []string{
		`{}`, `{"steps":[]}`, `{"steps":[{"count":-1}]}`, `{"steps":[{"count":1000000000000}]}`, `{"steps":[{"count":1}],"repeats":1000000000}`,
		`{"steps":[{"count":900000},{"count":900000}]}`, `{"steps":[{"count":1,"after":[0]}]}`, `{"steps":[{"count":1},{"count":1,"after":[-1]}]}`,
		`{"steps":[{"count":1e400}]}`, "\x01", strings.Repeat("[", 20_000),
	} {
		_, ok := rep.Apply(Record{Key: kindSubmission + "odd", Value: []byte(value)})
		is.True(!ok)
		_, known := rep.Job("odd")
		is.True(!known)
	}
	_, ok := rep.Apply(Record{Key: kindSubmission + "odd", Value: []byte(`{"steps":[{"count":2},{"count":1,"after":[0]}]}`)})
	is.True(ok)
}

// FuzzReplica guards against records that end the process when they are applied or when the job is looked at.
func FuzzReplica(f *testing.F) {
	f.Add(kindSubmission+"j", []byte(`{"workspace":"w","steps":[{"count":2,"need":{"accelerators":2}}]}`), []byte(`{"fence":1,"state":"running","steps":{"0.0":{"done":"01","running":{"w":[0,-1]}}}}`))
	f.Add(kindSubmission+"j", []byte(`{"steps":[{"count":9223372036854775807}],"repeats":9223372036854775807}`), []byte(`{"steps":{"":{}}}`))
	f.Add(keyTerm, []byte(`{"fence":9223372036854775807,"load":{"waiting":[1e308]}}`), []byte("\x01"))
	f.Add(keyFleet, []byte(`[null,{"incarnation":-1}]`), []byte(`null`))
	f.Fuzz(func(t *testing.T, key string, value, progress []byte) {
		rep := &Replica{}
		rep.Apply(Record{Key: key, Value: value})
		rep.Apply(Record{Key: kindProgress + "j", Value: progress})
		rep.Apply(Record{Key: kindCancellation + "j", Value: value})
		for _, j := range rep.Jobs() {
			_ = j.State()
			_ = j.AcceleratorsInUse()
			tasks := 0
			for _, st := range j.Submission.Steps {
				tasks += st.Count
			}
			if tasks*j.Submission.Occurrences() > maxTasks {
				t.Errorf("job with %d tasks and %d occurrences", tasks, j.Submission.Occurrences())
			}
		}
	})
}

// Guards against waits that begin anew because a snapshot replaces the jobs, and against one that the retry of a submission shortens.
func TestSnapshotKeepsWhenJobsWereLearned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		rep := &Replica{}
		learnedAt := time.Now()
		applyInOrder(rep, submissionRecord(t, "a"))
		time.Sleep(time.Second)
		applyInOrder(rep, submissionRecord(t, "a"))
		rep.LoadSnapshot([]Record{submissionRecord(t, "a"), submissionRecord(t, "b")}, 9)
		a, _ := rep.Job("a")
		is.Equal(a.LearnedAt, learnedAt)
		b, _ := rep.Job("b")
		is.Equal(b.LearnedAt, learnedAt.Add(time.Second))
	})
}
