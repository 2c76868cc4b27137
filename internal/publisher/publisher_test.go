package publisher

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/fake/log"
	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
	"chestnutmux.example/chestnutmux/pkg/validator"
)

// testHost is a publisher with its own connection to a shared log, in which faults can be injected.
type testHost struct {
	*Publisher
	mu       sync.Mutex
	fault    log.CallFault
	versions []model.ConfigVersion // in the order of the calls of OnUpdate
}

func newTestHost(ctx context.Context, l *log.Log) *testHost {
	h := &testHost{}
	h.Publisher = &Publisher{
		Log: &log.DirectStream{Log: l, StreamName: "config", InjectFault: func() log.CallFault {
			h.mu.Lock()
			defer h.mu.Unlock()
			return h.fault
		}},
		Logger: hclog.NewNullLogger(),
		OnUpdate: func(s *StoredConfig) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.versions = append(h.versions, s.Version)
		},
	}
	go h.Run(ctx)
	return h
}

func (h *testHost) setFault(f log.CallFault) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fault = f
}

// appliedVersions returns the versions that OnUpdate was called with, in order.
func (h *testHost) appliedVersions() []model.ConfigVersion {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.versions)
}

// quotaChange returns a publish, based on version base, that sets the quota of a workspace.
func quotaChange(base model.ConfigVersion, name string, n int) model.PublishRequest {
	spec, _ := json.Marshal(model.Workspace{Quota: model.Accelerators(n)}) // encoding a plain struct can't fail
	return model.PublishRequest{
		Author: "o", BaseVersion: base, SchemaVersion: validator.SchemaVersion,
		Changes: []model.ConfigChange{{Kind: model.ObjectKindWorkspace, Name: name, Spec: spec}},
	}
}

// errorKind returns the kind of a model.Error, or "" for any other error.
func errorKind(err error) model.ErrorKind {
	var e *model.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// Guards against updates that are lost when operators publish concurrently, hosts that end up with different configurations,
// and invalid configurations that are published.
func TestConcurrentPublishes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); time.Sleep(5 * time.Second) }()
		l := log.New(log.Options{})
		a, b := newTestHost(ctx, l), newTestHost(ctx, l)
		time.Sleep(time.Second)
		v, err := a.Publish(ctx, quotaChange(0, "one", 8))
		is.NoErr(err)
		is.Equal(v, model.ConfigVersion(1))
		var wg sync.WaitGroup
		errs := make([]error, 2)
		for i, h := range []*testHost{a, b} {
			wg.Go(func() { _, errs[i] = h.Publish(ctx, quotaChange(1, "one", 16+i)) })
		}
		wg.Wait()
		is.True((errs[0] == nil) != (errs[1] == nil))
		is.Equal(errorKind(errors.CombineErrors(errs[0], errs[1])), model.ErrorKindConflict)
		_, err = b.Publish(ctx, quotaChange(1, "two", 8)) // changes another object, based on the same version
		is.NoErr(err)
		_, err = b.Publish(ctx, quotaChange(3, "Bad_Name", 8))
		is.Equal(errorKind(err), model.ErrorKindInvalid)
		time.Sleep(time.Second)
		is.Equal(a.Current().Version, model.ConfigVersion(3))
		is.Equal(a.Current().Set, b.Current().Set)
		is.Equal(a.appliedVersions(), []model.ConfigVersion{1, 2, 3})
	})
}

// Guards against a publish that creates two versions or is reported as not run although it may have run, because the response
// to its append was lost.
func TestLostAppendResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); time.Sleep(5 * time.Second) }()
		l := log.New(log.Options{})
		a := newTestHost(ctx, l)
		time.Sleep(time.Second)
		a.setFault(log.FaultResponseLost)
		go func() {
			time.Sleep(1700 * time.Millisecond)
			a.setFault(log.NoFault)
		}()
		v, err := a.Publish(ctx, quotaChange(0, "one", 8))
		is.NoErr(err)
		is.Equal(v, model.ConfigVersion(1))
		is.Equal(len(l.Records("config")), 1)
		a.setFault(log.FaultUnavailable)
		_, err = a.Publish(ctx, quotaChange(1, "one", 9))
		is.Equal(errorKind(err), model.ErrorKindLogUnavailable)
		a.setFault(log.NoFault)
		time.Sleep(2 * time.Second)
		is.Equal(a.Current().Version, model.ConfigVersion(1))
	})
}

// Guards against a host that starts with an outdated version, or can't publish, after the log has deleted old records.
func TestStartAfterLogTrim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); time.Sleep(5 * time.Second) }()
		l := log.New(log.Options{})
		a := newTestHost(ctx, l)
		time.Sleep(time.Second)
		for i := range 3 {
			_, err := a.Publish(ctx, quotaChange(model.ConfigVersion(i), "one", 8+i))
			is.NoErr(err)
		}
		l.Expire("config")
		b := newTestHost(ctx, l)
		time.Sleep(time.Second)
		is.Equal(b.appliedVersions(), []model.ConfigVersion{3})
		_, err := b.Publish(ctx, quotaChange(3, "one", 20))
		is.NoErr(err)
	})
}

// confirmedHost returns a host that follows a log, and a function that returns the time since the last confirmation.
func confirmedHost(ctx context.Context, l *log.Log) (*testHost, func() time.Duration) {
	h := &testHost{}
	var mu sync.Mutex
	var confirmed time.Time
	h.Publisher = &Publisher{
		Log: &log.DirectStream{Log: l, StreamName: "config", InjectFault: func() log.CallFault {
			h.mu.Lock()
			defer h.mu.Unlock()
			return h.fault
		}},
		Logger: hclog.NewNullLogger(), OnUpdate: func(*StoredConfig) {},
		OnConfirm: func(_ model.ConfigVersion, at time.Time) {
			mu.Lock()
			defer mu.Unlock()
			confirmed = at
		},
	}
	go h.Run(ctx)
	return h, func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return time.Since(confirmed)
	}
}

// Guards against a view that counts as confirmed while the log can't be read, or that gets old while nothing is published.
func TestConfirmationsFollowTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		h, age := confirmedHost(ctx, log.New(log.Options{}))
		for range 20 {
			time.Sleep(330 * time.Millisecond)
			is.True(age() <= pollWait)
		}
		h.setFault(log.FaultUnavailable)
		time.Sleep(5 * time.Second)
		is.True(age() > 3*time.Second)
		h.setFault(log.NoFault)
		time.Sleep(2 * time.Second)
		is.True(age() <= pollWait)
		cancel()
		synctest.Wait()
	})
}

// Guards against a view that counts as confirmed although the newest configuration, which may hold a request, can't be decoded.
func TestUndecodableConfigurationConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		l := log.New(log.Options{})
		h, age := confirmedHost(ctx, l)
		time.Sleep(time.Second)
		_, err := l.Append("config", []journaler.Record{{Key: configKey, Value: []byte("{")}}, journaler.AppendCondition{})
		is.NoErr(err)
		time.Sleep(5 * time.Second)
		is.True(age() > 3*time.Second)
		_, restartedAge := confirmedHost(ctx, l)
		time.Sleep(2 * time.Second)
		is.True(restartedAge() > time.Hour)
		_, err = h.Publish(ctx, quotaChange(0, "one", 8))
		is.NoErr(err)
		time.Sleep(2 * time.Second)
		is.True(age() <= pollWait)
		is.True(restartedAge() <= pollWait)
		cancel()
		synctest.Wait()
	})
}
