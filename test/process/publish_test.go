package process

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"chestnutmux.example/chestnutmux/internal/fake/fault"
	"chestnutmux.example/chestnutmux/internal/fake/launcher"
	"chestnutmux.example/chestnutmux/internal/fake/platform"
	"chestnutmux.example/chestnutmux/pkg/model"
	"chestnutmux.example/chestnutmux/pkg/validator"
)

// quota is a publish that gives the workspace workshop another quota.
func (c *cluster) quota(base model.ConfigVersion, quota model.Accelerators) model.PublishRequest {
	ws := c.set.Workspaces["workshop"]
	ws.Quota = quota
	spec, err := json.Marshal(ws)
	c.is.NoErr(err)
	return model.PublishRequest{BaseVersion: base, SchemaVersion: validator.SchemaVersion, Changes: []model.ConfigChange{{
		Kind: model.ObjectKindWorkspace, Name: "workshop", Spec: spec,
	}}}
}

// quotaOn reads the version and the quota of workshop on a host.
func (c *cluster) quotaOn(ctx context.Context, h *launcher.Host) (model.ConfigVersion, model.Accelerators, error) {
	r, err := c.Client(h, operator1).Config(ctx)
	return r.Version, r.Config.Workspaces["workshop"].Quota, err
}

// Guards against publishes that reach a part of the hosts only, and against a lost update between operators.
func TestOperatorsRace(t *testing.T) {
	c := start(t, launcher.Options{HostsPerDomain: hosts(domainA, domainB, domainC)})
	base, _, err := c.quotaOn(short(patience), c.Hosts[0])
	c.is.NoErr(err)
	for round := range 5 {
		var wg sync.WaitGroup
		versions, errs := make([]model.ConfigVersion, 2), make([]error, 2)
		begun := time.Now()
		for i, token := range []string{operator1, operator2} {
			wg.Go(func() {
				h := c.Hosts[(2*i+round)%len(c.Hosts)]
				versions[i], errs[i] = c.Client(h, token).Publish(short(patience), c.quota(base, model.Accelerators(10+10*round+i)))
			})
		}
		wg.Wait()
		winner := 0
		if errs[0] != nil {
			winner = 1
		}
		c.is.NoErr(errs[winner])
		c.is.Equal(kindOf(errs[1-winner]), model.ErrorKindConflict)
		c.is.Equal(outcomeOf(errs[1-winner]), model.OutcomeNotRun)
		name := []string{"operator-1", "operator-2"}[winner]
		c.is.True(strings.Contains(errs[1-winner].Error(), name)) // the conflict names the winner
		c.is.Equal(versions[winner], base+1)
		base++
		c.is.NoErr(c.AwaitVersion(inForce, operator1, base, c.Hosts...))
		t.Logf("round %d: in force on %d hosts after %s", round, len(c.Hosts), time.Since(begun))
		for _, h := range c.Hosts {
			_, q, err := c.quotaOn(short(patience), h)
			c.is.NoErr(err)
			c.is.Equal(q, model.Accelerators(10+10*round+winner))
		}
	}
}

// Guards against publishes that are told not-run but take effect, or unknown but are lost although the log kept them.
func TestLogDownDuringPublish(t *testing.T) {
	c := start(t, launcher.Options{HostsPerDomain: hosts(domainA)})
	h := c.Hosts[0]
	base, before, err := c.quotaOn(short(patience), h)
	c.is.NoErr(err)

	c.is.NoErr(c.SetFaults(platform.LogName, fault.Faults{Down: true}))
	_, err = c.Client(h, operator1).Publish(short(patience), c.quota(base, before+1))
	c.is.True(err != nil)
	told := outcomeOf(err)
	t.Logf("log down: told %s: %v", told, err)
	c.is.NoErr(c.SetFaults(platform.LogName, fault.Faults{}))
	c.is.True(told == model.OutcomeNotRun || told == model.OutcomeUnknown)

	// The next publish shows whether the first one took effect.
	var got model.ConfigVersion
	c.await(patience, func(ctx context.Context) error {
		v, _, err := c.quotaOn(ctx, h)
		if err == nil {
			got, err = c.Client(h, operator1).Publish(ctx, c.quota(v, before+2))
		}
		return err
	})
	if told == model.OutcomeNotRun {
		c.is.Equal(got, base+1) // a publish told not-run has no version
	}

	// The answer is lost after the effect: the repeat of the append must find the version in force.
	c.is.NoErr(c.SetFaults(platform.LogName, fault.Faults{AnswerLost: true}))
	time.AfterFunc(time.Second, func() { _ = c.SetFaults(platform.LogName, fault.Faults{}) })
	v, err := c.Client(h, operator1).Publish(short(patience), c.quota(got, before+3))
	t.Logf("answers of the log lost for 1 s: version %d, %v", v, err)
	c.is.True(outcomeOf(err) != model.OutcomeNotRun)
	c.is.NoErr(c.AwaitVersion(inForce, operator1, got+1, c.Hosts...))
	for _, h := range c.Hosts {
		v, q, err := c.quotaOn(short(patience), h)
		c.is.NoErr(err)
		c.is.Equal(v, got+1) // the repeated append must not make two versions
		c.is.Equal(q, before+3)
	}
}

// Guards against hosts cut off from the log that fall back to an older version, or miss changes for good.
func TestHostCutOffFromLog(t *testing.T) {
	c := start(t, launcher.Options{HostsPerDomain: hosts(domainA, domainB), UseRelays: true})
	base, before, err := c.quotaOn(short(patience), c.Hosts[0])
	c.is.NoErr(err)
	cut := c.notLeading()
	open := c.leader()
	c.is.NoErr(c.Partition([]model.HostID{cut.Settings.HostID}, true))
	v, err := c.Client(open, operator1).Publish(short(patience), c.quota(base, 42))
	c.is.NoErr(err)
	got, q, err := c.quotaOn(short(patience), cut)
	c.is.NoErr(err)
	c.is.Equal(got, base) // it goes on with what it has
	c.is.Equal(q, before)
	_, err = c.Client(cut, workshop).Submit(short(patience), gang("lost", 1, time.Second))
	c.is.True(err != nil)
	c.is.NoErr(c.HealPartitions())
	c.is.NoErr(c.AwaitVersion(inForce, operator1, v, c.Hosts...))
}
