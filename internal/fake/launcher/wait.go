package launcher

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// pollEvery is the time between two looks at a condition.
const pollEvery = 50 * time.Millisecond

// Await calls f until it returns nil, or returns its last error at the bound.
func Await(bound time.Duration, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	for {
		err := f(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(err, "launcher: not within %s", bound)
		case <-time.After(pollEvery):
		}
	}
}

// AwaitVersion waits until a configuration of at least the version is in force on all given hosts.
func (c *Cluster) AwaitVersion(bound time.Duration, token string, v model.ConfigVersion, hosts ...*Host) error {
	return Await(bound, func(ctx context.Context) error {
		for _, h := range hosts {
			s, err := c.Client(h, token).Status(ctx)
			if err != nil {
				return err
			}
			if s.ConfigVersion < v {
				return errors.Newf("host %s has version %d", h.Settings.HostID, s.ConfigVersion)
			}
		}
		return nil
	})
}

// AwaitLeader waits until one of the running hosts leads, and returns it.
func (c *Cluster) AwaitLeader(bound time.Duration, token string) (*Host, error) {
	var found *Host
	err := Await(bound, func(ctx context.Context) error {
		for _, h := range c.Hosts {
			s, err := c.Client(h, token).Status(ctx)
			if err == nil && s.Role == model.RoleLeader && s.Leader == s.Host {
				found = h
				return nil
			}
		}
		return errors.New("no host leads")
	})
	return found, err
}
