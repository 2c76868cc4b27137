package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"chestnutmux.example/chestnutmux/pkg/model"
	"chestnutmux.example/chestnutmux/pkg/validator"
)

// load applies the changes that the arguments ask for until the end.
func (r *rig) load(end time.Time) error {
	var group errgroup.Group
	every := func(perMinute int, f func(n int) error) {
		if perMinute == 0 {
			return
		}
		group.Go(func() error {
			for n := 0; time.Now().Before(end); n++ {
				if err := f(n); err != nil {
					return err
				}
				time.Sleep(time.Minute / time.Duration(perMinute))
			}
			return nil
		})
	}
	var submitted atomic.Int64
	every(r.Jobs, func(int) error {
		n := int(submitted.Add(1))
		return r.submit(fmt.Sprintf("job-%06d", n), n, r.Gang, time.Second)
	})
	every(r.Publish, r.publish)
	every(r.Changes, r.toggle)
	time.Sleep(time.Until(end))
	return group.Wait()
}

// publish changes the weight of one workspace.
func (r *rig) publish(n int) error {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	c := r.cluster.Client(r.cluster.Hosts[0], operator)
	status, err := c.Status(ctx)
	if err != nil {
		return err
	}
	spec, err := json.Marshal(model.Workspace{Quota: 100_000, MaxWaiting: 100_000, Weight: 1 + n%7})
	if err != nil {
		return errors.Wrap(err, "publish")
	}
	_, err = c.Publish(ctx, model.Publish{
		Base: status.ConfigVersion, Schema: validator.Schema,
		Changes: []model.Change{{Kind: model.KindWorkspace, Name: team(n), Spec: spec}},
	})
	return err
}

// toggle changes the state of one listed worker of a further failure domain, else of the measured one's entry host.
func (r *rig) toggle(n int) error {
	id := r.cluster.Hosts[0].Settings.HostID
	for _, w := range r.cluster.Ready.Workers {
		if r.Others > 0 && !bytes.HasPrefix([]byte(w.Name), []byte(measured)) {
			id = model.HostID(w.Name)
			break
		}
	}
	state := "live"
	if n%2 == 0 {
		state = "leaving"
	}
	body, err := json.Marshal(map[string]string{"state": state})
	if err != nil {
		return errors.Wrap(err, "toggle")
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, r.cluster.Ready.Admin+"/admin/hosts/"+string(id), bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "toggle")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "toggle")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("toggle: %s", resp.Status)
	}
	return nil
}
