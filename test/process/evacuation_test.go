package process

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"chestnutmux.example/chestnutmux/internal/fake/launcher"
	"chestnutmux.example/chestnutmux/internal/settings"
	"chestnutmux.example/chestnutmux/pkg/model"
	"chestnutmux.example/chestnutmux/pkg/validator"
)

// evacuationTime is the time after a request from which on nothing starts in the failure domain, and a second until what was started before has ended.
const evacuationTime = 3 * time.Second

// evacuate requests the evacuation of a failure domain, or takes the request back, and waits until the hosts have applied that.
func (c *cluster) evacuate(domain model.DomainID, back bool) {
	c.t.Helper()
	h := c.follower()
	current, err := c.Client(h, operator1Token).Config(withTimeout(defaultTimeout))
	c.is.NoErr(err)
	change := model.ConfigChange{Kind: model.ObjectKindEvacuation, Name: string(domain)}
	if !back {
		change.Spec = json.RawMessage("{}")
	}
	v, err := c.Client(h, operator1Token).Publish(withTimeout(defaultTimeout), model.PublishRequest{
		BaseVersion: current.Version, SchemaVersion: validator.SchemaVersion, Changes: []model.ConfigChange{change},
	})
	c.is.NoErr(err)
	c.is.NoErr(c.AwaitVersion(inForceTimeout, operator1Token, v, c.Hosts...))
}

// playShortJobs submits short jobs for a time, or until the failure domain is in use where that is expected, and returns the most accelerators that were in use in a failure domain, and the statuses of its workers at that time.
func (c *cluster) playShortJobs(name string, domain model.DomainID, length time.Duration, expected bool) (inUse model.Accelerators, health map[string]int) {
	c.t.Helper()
	leader, end := c.leader(), time.Now().Add(length)
	inUse = -1
	for i := 0; time.Now().Before(end) && (!expected || inUse <= 0); i++ {
		if i%4 == 0 {
			c.submit(leader, bridalToken, gangSpec(fmt.Sprint(name, "-", i), 3, time.Second/2))
		}
		status, err := c.Client(leader, operator1Token).Status(withTimeout(defaultTimeout))
		c.is.NoErr(err)
		sum, seen := model.Accelerators(0), map[string]int{}
		for _, w := range status.Workers {
			if string(w.Rack[:len(domain)]) == string(domain) {
				sum += w.InUse
				seen[w.Health]++
			}
		}
		if sum > inUse {
			inUse, health = sum, seen
		}
		time.Sleep(50 * time.Millisecond)
	}
	return inUse, health
}

// Guards against tasks in a failure domain that an operator has evacuated by the configuration, before and after the hosts were killed.
func TestEvacuationByConfiguration(t *testing.T) {
	t.Parallel()
	for _, killed := range []string{"leader", "all hosts"} {
		t.Run(killed, func(t *testing.T) {
			c := startTakeoverCluster(t, launcher.Options{
				HostsPerDomain: twoHostsPerDomain(domainA, domainB), AdjustSettings: func(s *settings.Settings) { s.EvacuationBoundMS = 5000 },
			})
			inUse, _ := c.playShortJobs("before", domainC, 2*time.Second, true) // the domain whose name comes first is used first
			c.is.True(inUse > 0)
			c.evacuate(domainC, false)
			time.Sleep(evacuationTime)
			inUse, health := c.playShortJobs("during", domainC, 2*time.Second, false)
			c.is.Equal(inUse, model.Accelerators(0))
			c.is.Equal(health, map[string]int{"evacuated": 16})
			leader := c.leader()
			for _, h := range c.Hosts {
				if h == leader || killed == "all hosts" {
					c.is.NoErr(c.KillHost(h))
				}
			}
			for _, h := range c.Hosts {
				if !h.IsRunning() {
					c.is.NoErr(c.StartHost(h))
				}
			}
			time.Sleep(evacuationTime)
			inUse, _ = c.playShortJobs("after", domainC, 4*time.Second, false)
			c.is.Equal(inUse, model.Accelerators(0))
			c.evacuate(domainC, true)
			inUse, _ = c.playShortJobs("back", domainC, evacuationTime+2*time.Second, true)
			c.is.True(inUse > 0)
		})
	}
}
