package detector

import (
	"fmt"
	"testing"
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
	"github.com/matryer/is"
)

var now = time.Unix(1_700_000_000, 0)

// TestFaultyWorker guards against a worker that fails every task and keeps getting work.
func TestFaultyWorker(t *testing.T) {
	is := is.New(t)
	var d Detector
	is.Equal(d.Failed("j1", "bad", now), Verdict{})
	is.Equal(d.Failed("j1", "bad", now), Verdict{}) // one job proves nothing
	is.Equal(d.Failed("j2", "bad", now), Verdict{Quarantine: true})
	is.True(d.Quarantined("bad"))
	at := now
	for _, probation := range []time.Duration{firstProbation, 2 * firstProbation, 4 * firstProbation} {
		is.Equal(len(d.Due(nil, at.Add(probation-1))), 0)
		is.Equal(d.NextTrial(at), at.Add(probation))
		at = at.Add(probation)
		is.Equal(d.Due(nil, at), []model.HostID{"bad"})
		d.StartTrial("bad")
		is.Equal(len(d.Due(nil, at)), 0) // one task only
		is.True(d.Failed(model.JobID(fmt.Sprint("trial", probation)), "bad", at).Quarantine)
	}
	d.StartTrial("bad")
	d.EndTrial("bad") // no verdict, such as a preemption
	is.True(d.Quarantined("bad"))
	d.StartTrial("bad")
	d.Succeeded("bad")
	is.True(!d.Quarantined("bad"))
}

// TestFaultyJob guards against quarantine of healthy workers for faulty jobs.
func TestFaultyJob(t *testing.T) {
	is := is.New(t)
	var d Detector
	for _, j := range []model.JobID{"j1", "j2", "j3"} {
		is.Equal(d.Failed(j, "w1", now).Quarantine, j == "j2") // the first worker of two jobs is suspected
		if j == "j2" {
			d.Succeeded("w1")
		}
	}
	d = Detector{}
	is.Equal(d.Failed("j1", "w1", now), Verdict{})
	is.Equal(d.Failed("j1", "w2", now), Verdict{})
	is.Equal(d.Failed("j1", "w3", now), Verdict{FailJob: true})
	d.ForgetJob("j1")
	is.Equal(d.Failed("j2", "w1", now), Verdict{}) // j1 no longer counts against w1
}

// TestQuarantinedWorkersDoNotCount guards against failing a good job that met faulty workers only.
func TestQuarantinedWorkersDoNotCount(t *testing.T) {
	is := is.New(t)
	var d Detector
	for i := range 4 {
		w := model.HostID(fmt.Sprint("bad", i))
		d.Failed(model.JobID(fmt.Sprint("other", i)), w, now)
		v := d.Failed("good", w, now)
		is.True(!v.FailJob)
		is.True(v.Quarantine) // its failures elsewhere were on quarantined workers
	}
}

// TestSuccessBetweenFailures guards against counting failures that are not in a row.
func TestSuccessBetweenFailures(t *testing.T) {
	is := is.New(t)
	var d Detector
	for i := range 5 {
		is.Equal(d.Failed(model.JobID(fmt.Sprint(i)), "w", now), Verdict{})
		d.Succeeded("w")
	}
}
