package process

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/fake/fault"
	"chestnutmux.example/chestnutmux/internal/fake/launcher"
	"chestnutmux.example/chestnutmux/internal/fake/platform"
	"chestnutmux.example/chestnutmux/pkg/client"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Guards against a failure domain that stops serving when it is cut off from the others and from the log, and
// against work that is doubled or outcomes that are lost after the end of the partition.
func TestDomainCutOff(t *testing.T) {
	for _, silent := range []bool{false, true} {
		t.Run(fmt.Sprintf("silent-%t", silent), func(t *testing.T) {
			c := start(t, launcher.Options{Hosts: hosts(domainA, domainB, domainC), Relays: true})
			inside, outside := c.of(domainC), append(c.of(domainA), c.of(domainB)...)
			home := c.localJobs(inside[0], domainC)
			c.is.True(len(home) >= 4) // some run and some wait

			c.is.NoErr(c.Partition(ids(inside), ids(outside), silent))
			for _, fake := range []string{platform.NameLog, platform.NameHosts} {
				c.is.NoErr(c.Fault(fake, fault.Faults{Cut: ids(inside), CutSilent: silent}))
			}
			begun := time.Now()
			c.cutOff(inside, outside)
			c.await(patience, func(context.Context) error {
				for _, id := range home {
					if n := len(c.started(id)); n < 2 {
						return errors.Newf("job %s has %d members started", id, n)
					}
				}
				return nil
			})
			t.Logf("all %d jobs of the domain were started without the log, seen %s after the cut", len(home), time.Since(begun))

			c.is.NoErr(c.Heal())
			for _, fake := range []string{platform.NameLog, platform.NameHosts} {
				c.is.NoErr(c.Fault(fake, fault.Faults{}))
			}
			begun = time.Now()
			for _, id := range home {
				c.awaitState(patience, outside[0], workshop, id, model.JobFinished)
				c.is.Equal(len(c.started(id)), 2) // one attempt
			}
			t.Logf("all outcomes are recorded %s after the end of the partition", time.Since(begun))
		})
	}
}

// localJobs submits gangs of two until the domain has some that run and some that wait, and returns its jobs.
func (c *cluster) localJobs(h *launcher.Host, domain model.DomainID) []model.JobID {
	c.t.Helper()
	var home []model.JobID
	for i := range 24 {
		j := c.submit(h, workshop, gang(fmt.Sprintf("local-%d", i), 2, 2*time.Second))
		if j.Home == domain {
			home = append(home, j.Spec.ID)
		}
	}
	return home
}

// cutOff checks what callers inside and outside of the cut off domain are told.
func (c *cluster) cutOff(inside, outside []*launcher.Host) {
	c.t.Helper()
	x := c.callers()
	for i := range 100 {
		c.is.NoErr(x.call(inside[i%2], workshop, client.Call{RequestID: newID(), Idempotent: true}))
	}
	_, err := c.Client(inside[0], workshop).Submit(short(patience), gang("cut-off", 1, time.Second))
	// The log closes the connection of an append, so that the host can't tell whether it took effect.
	c.is.True(outcomeOf(err) != model.OutcomeAnswered)
	c.is.Equal(kindOf(err), model.KindLogUnavailable)
	err = x.call(inside[1], workshop, client.Call{RequestID: newID()})
	c.is.Equal(outcomeOf(err), model.OutcomeNotRun)
	c.is.Equal(kindOf(err), model.KindLogUnavailable)
	c.is.Equal(len(c.started("cut-off")), 0)
	c.submit(outside[0], upholstery, gang("outside", 1, 100*time.Millisecond))
	c.awaitState(patience, outside[1], upholstery, "outside", model.JobFinished)
	c.is.NoErr(x.call(outside[0], workshop, client.Call{RequestID: newID()}))
	x.check()
}
