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
	"chestnutmux.example/chestnutmux/pkg/model"
	"chestnutmux.example/chestnutmux/pkg/validator"
)

// host is a publisher with its own way to a shared log.
type host struct {
	*Publisher
	mu       sync.Mutex
	fault    log.DirectFault
	versions []model.ConfigVersion
}

func newHost(ctx context.Context, l *log.Log) *host {
	h := &host{}
	h.Publisher = &Publisher{
		Log: &log.Direct{Log: l, Name: "config", Fault: func() log.DirectFault {
			h.mu.Lock()
			defer h.mu.Unlock()
			return h.fault
		}},
		Logger: hclog.NewNullLogger(),
		OnUpdate: func(s *Snapshot) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.versions = append(h.versions, s.Version)
		},
	}
	go h.Run(ctx)
	return h
}

func (h *host) set(f log.DirectFault) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fault = f
}

// seen returns the versions that came into force.
func (h *host) seen() []model.ConfigVersion {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.versions)
}

func quota(base model.ConfigVersion, name string, n int) model.PublishRequest {
	spec, _ := json.Marshal(model.Workspace{Quota: model.Accelerators(n)}) // a plain struct can't fail
	return model.PublishRequest{Author: "o", BaseVersion: base, SchemaVersion: validator.SchemaVersion, Changes: []model.ConfigChange{{Kind: model.ObjectKindWorkspace, Name: name, Spec: spec}}}
}

func kind(err error) model.ErrorKind {
	var e *model.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// Guards against lost updates between operators, versions that differ between hosts, and invalid sets in force.
func TestOperatorsRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); time.Sleep(5 * time.Second) }()
		l := log.New(log.Options{})
		a, b := newHost(ctx, l), newHost(ctx, l)
		time.Sleep(time.Second)
		v, err := a.Publish(ctx, quota(0, "one", 8))
		is.NoErr(err)
		is.Equal(v, model.ConfigVersion(1))
		var wg sync.WaitGroup
		errs := make([]error, 2)
		for i, h := range []*host{a, b} {
			wg.Go(func() { _, errs[i] = h.Publish(ctx, quota(1, "one", 16+i)) })
		}
		wg.Wait()
		is.True((errs[0] == nil) != (errs[1] == nil))
		is.Equal(kind(errors.CombineErrors(errs[0], errs[1])), model.ErrorKindConflict)
		_, err = b.Publish(ctx, quota(1, "two", 8)) // another object, based on the same version
		is.NoErr(err)
		_, err = b.Publish(ctx, quota(3, "Bad_Name", 8))
		is.Equal(kind(err), model.ErrorKindInvalid)
		time.Sleep(time.Second)
		is.Equal(a.State().Version, model.ConfigVersion(3))
		is.Equal(a.State().Set, b.State().Set)
		is.Equal(a.seen(), []model.ConfigVersion{1, 2, 3})
	})
}

// Guards against a publish whose answer is lost and that makes two versions, or is told as not run.
func TestLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); time.Sleep(5 * time.Second) }()
		l := log.New(log.Options{})
		a := newHost(ctx, l)
		time.Sleep(time.Second)
		a.set(log.DirectLost)
		go func() {
			time.Sleep(1700 * time.Millisecond)
			a.set(log.DirectOK)
		}()
		v, err := a.Publish(ctx, quota(0, "one", 8))
		is.NoErr(err)
		is.Equal(v, model.ConfigVersion(1))
		is.Equal(len(l.Records("config")), 1)
		a.set(log.DirectDown)
		_, err = a.Publish(ctx, quota(1, "one", 9))
		is.Equal(kind(err), model.ErrorKindLogUnavailable)
		a.set(log.DirectOK)
		time.Sleep(2 * time.Second)
		is.Equal(a.State().Version, model.ConfigVersion(1))
	})
}

// Guards against a host that starts with an older version after the log has dropped old records.
func TestStartAfterExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); time.Sleep(5 * time.Second) }()
		l := log.New(log.Options{})
		a := newHost(ctx, l)
		time.Sleep(time.Second)
		for i := range 3 {
			_, err := a.Publish(ctx, quota(model.ConfigVersion(i), "one", 8+i))
			is.NoErr(err)
		}
		l.Expire("config")
		b := newHost(ctx, l)
		time.Sleep(time.Second)
		is.Equal(b.seen(), []model.ConfigVersion{3})
		_, err := b.Publish(ctx, quota(3, "one", 20))
		is.NoErr(err)
	})
}
