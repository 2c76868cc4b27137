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

// quotaChange returns a publish request that changes the quota of the workspace workshop.
func (c *cluster) quotaChange(baseVersion model.ConfigVersion, quota model.Accelerators) model.PublishRequest {
	ws := c.configSet.Workspaces["workshop"]
	ws.Quota = quota
	spec, err := json.Marshal(ws)
	c.is.NoErr(err)
	return model.PublishRequest{BaseVersion: baseVersion, SchemaVersion: validator.SchemaVersion, Changes: []model.ConfigChange{{
		Kind: model.ObjectKindWorkspace, Name: "workshop", Spec: spec,
	}}}
}

// workshopQuota returns the version of the configuration on a host and the quota of the workspace workshop in it.
func (c *cluster) workshopQuota(ctx context.Context, h *launcher.Host) (model.ConfigVersion, model.Accelerators, error) {
	r, err := c.Client(h, operator1Token).Config(ctx)
	return r.Version, r.Config.Workspaces["workshop"].Quota, err
}

// Guards against publishes that reach only some of the hosts, and against lost updates when two operators publish at once.
func TestOperatorsRace(t *testing.T) {
	c := startCluster(t, launcher.Options{HostsPerDomain: twoHostsPerDomain(domainA, domainB, domainC)})
	version, _, err := c.workshopQuota(withTimeout(defaultTimeout), c.Hosts[0])
	c.is.NoErr(err)
	for round := range 5 {
		var wg sync.WaitGroup
		versions, errs := make([]model.ConfigVersion, 2), make([]error, 2)
		publishedAt := time.Now()
		for i, token := range []string{operator1Token, operator2Token} {
			wg.Go(func() {
				h := c.Hosts[(2*i+round)%len(c.Hosts)]
				versions[i], errs[i] = c.Client(h, token).Publish(withTimeout(defaultTimeout), c.quotaChange(version, model.Accelerators(10+10*round+i)))
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
		c.is.True(strings.Contains(errs[1-winner].Error(), name)) // the conflict error names the operator whose publish took effect
		c.is.Equal(versions[winner], version+1)
		version++
		c.is.NoErr(c.AwaitVersion(inForceTimeout, operator1Token, version, c.Hosts...))
		t.Logf("round %d: in force on %d hosts after %s", round, len(c.Hosts), time.Since(publishedAt))
		for _, h := range c.Hosts {
			_, q, err := c.workshopQuota(withTimeout(defaultTimeout), h)
			c.is.NoErr(err)
			c.is.Equal(q, model.Accelerators(10+10*round+winner))
		}
	}
}

// Guards against publishes that are reported as not-run but take effect, and against publishes with an unknown outcome that
// are lost although the log stored them.
func TestLogDownDuringPublish(t *testing.T) {
	c := startCluster(t, launcher.Options{HostsPerDomain: twoHostsPerDomain(domainA)})
	h := c.Hosts[0]
	baseVersion, oldQuota, err := c.workshopQuota(withTimeout(defaultTimeout), h)
	c.is.NoErr(err)

	c.is.NoErr(c.SetFaults(platform.LogName, fault.Faults{Down: true}))
	_, err = c.Client(h, operator1Token).Publish(withTimeout(defaultTimeout), c.quotaChange(baseVersion, oldQuota+1))
	c.is.True(err != nil)
	outcome := outcomeOf(err)
	t.Logf("log down: outcome %s: %v", outcome, err)
	c.is.NoErr(c.SetFaults(platform.LogName, fault.Faults{}))
	c.is.True(outcome == model.OutcomeNotRun || outcome == model.OutcomeUnknown)

	// The version of the next publish shows whether the first one took effect.
	var version model.ConfigVersion
	c.await(defaultTimeout, func(ctx context.Context) error {
		v, _, err := c.workshopQuota(ctx, h)
		if err == nil {
			version, err = c.Client(h, operator1Token).Publish(ctx, c.quotaChange(v, oldQuota+2))
		}
		return err
	})
	if outcome == model.OutcomeNotRun {
		c.is.Equal(version, baseVersion+1) // a publish reported as not-run has used no version
	}

	// The log applies the append, but its response is lost. The retried append must find the version already in force.
	c.is.NoErr(c.SetFaults(platform.LogName, fault.Faults{ResponseLost: true}))
	time.AfterFunc(time.Second, func() { _ = c.SetFaults(platform.LogName, fault.Faults{}) })
	v, err := c.Client(h, operator1Token).Publish(withTimeout(defaultTimeout), c.quotaChange(version, oldQuota+3))
	t.Logf("log responses lost for 1 s: version %d, %v", v, err)
	c.is.True(outcomeOf(err) != model.OutcomeNotRun)
	c.is.NoErr(c.AwaitVersion(inForceTimeout, operator1Token, version+1, c.Hosts...))
	for _, h := range c.Hosts {
		v, q, err := c.workshopQuota(withTimeout(defaultTimeout), h)
		c.is.NoErr(err)
		c.is.Equal(v, version+1) // the retried append must not create a second version
		c.is.Equal(q, oldQuota+3)
	}
}

// Guards against hosts that, after being cut off from the log, fall back to an older version or permanently miss changes.
func TestHostCutOffFromLog(t *testing.T) {
	c := startTakeoverCluster(t, launcher.Options{HostsPerDomain: twoHostsPerDomain(domainA, domainB), UseRelays: true})
	baseVersion, oldQuota, err := c.workshopQuota(withTimeout(defaultTimeout), c.Hosts[0])
	c.is.NoErr(err)
	cutOffHost := c.follower()
	leader := c.leader()
	c.is.NoErr(c.Partition([]model.HostID{cutOffHost.Settings.HostID}, true))
	v, err := c.Client(leader, operator1Token).Publish(withTimeout(defaultTimeout), c.quotaChange(baseVersion, 42))
	c.is.NoErr(err)
	version, q, err := c.workshopQuota(withTimeout(defaultTimeout), cutOffHost)
	c.is.NoErr(err)
	c.is.Equal(version, baseVersion) // the host keeps its last known configuration
	c.is.Equal(q, oldQuota)
	_, err = c.Client(cutOffHost, workshopToken).Submit(withTimeout(defaultTimeout), gangSpec("lost", 1, time.Second))
	c.is.True(err != nil)
	c.is.NoErr(c.HealPartitions())
	c.is.NoErr(c.AwaitVersion(inForceTimeout, operator1Token, v, c.Hosts...))
}
