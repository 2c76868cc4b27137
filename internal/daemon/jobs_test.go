package daemon

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Guards against jobs that are accepted although no leader can plan them; replicas pass over their records.
func TestJobsBeyondLimitAreRefused(t *testing.T) {
	is := is.New(t)
	d := &Daemon{}
	d.config.Store(&activeConfig{set: model.ConfigSet{Classes: map[model.ClassID]model.Class{"c": {}}}})
	for _, steps := range [][]model.Step{
		{{Count: 2_000_000}}, {{Count: 900_000}, {Count: 900_000}}, {{Count: 1, DependsOn: []int{0}}}, {{Count: 0}},
	} {
		_, err := d.newSubmission(model.JobSpec{ID: "j", Class: "c", Steps: steps})
		is.True(err != nil)
		is.True(!strings.Contains(err.Error(), "inventory"))
	}
}

// Guards against jobs that wait for an evacuated failure domain without end, or are refused for good because of it.
func TestJobThatFitsOnlyEvacuatedDomainsIsRefusedForNow(t *testing.T) {
	is := is.New(t)
	rack := func(workers int) model.FailureDomain {
		return model.FailureDomain{Racks: map[model.RackID]model.Rack{"r": {Workers: workers, Accelerators: 8}}}
	}
	set := model.ConfigSet{FailureDomains: map[model.DomainID]model.FailureDomain{"small": rack(2), "large": rack(4)}}
	d := &Daemon{}
	d.config.Store(&activeConfig{set: set})
	s := &model.Submission{Steps: []model.Step{{Count: 3, Need: model.Resources{Accelerators: 8}, Gang: true}}}
	is.NoErr(d.checkEvacuated(s))
	for domain, retry := range map[model.DomainID]bool{"small": false, "large": true, "undeclared": false} {
		set.Evacuations = map[model.DomainID]model.Evacuation{domain: {}}
		d.config.Store(&activeConfig{set: set})
		err := d.checkEvacuated(s)
		is.Equal(err != nil, retry)
		is.True(err == nil || asModelError(err).RetryAfterMS > 0)
	}
}
