package launcher

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// pollInterval is the time between two checks of a condition.
const pollInterval = 50 * time.Millisecond

// Await calls the condition repeatedly until it returns nil; after the timeout it returns the last error.
func Await(timeout time.Duration, condition func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for {
		err := condition(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(err, "launcher: condition not met within %s", timeout)
		case <-time.After(pollInterval):
		}
	}
}

// AwaitVersion waits until a configuration of at least the given version is in force on all given hosts.
func (c *Cluster) AwaitVersion(timeout time.Duration, token string, version model.ConfigVersion, hosts ...*Host) error {
	return Await(timeout, func(ctx context.Context) error {
		for _, h := range hosts {
			s, err := c.Client(h, token).Status(ctx)
			if err != nil {
				return err
			}
			if s.ConfigVersion < version {
				return errors.Newf("host %s has version %d", h.Settings.HostID, s.ConfigVersion)
			}
		}
		return nil
	})
}

// AwaitLeader waits until one of the entry hosts reports that it is the leader, and returns that host.
func (c *Cluster) AwaitLeader(timeout time.Duration, token string) (*Host, error) {
	var leader *Host
	err := Await(timeout, func(ctx context.Context) error {
		for _, h := range c.Hosts {
			s, err := c.Client(h, token).Status(ctx)
			if err == nil && s.Role == model.RoleLeader && s.Leader == s.Host {
				leader = h
				return nil
			}
		}
		return errors.New("no host is the leader")
	})
	return leader, err
}
