package publisher

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// keyState is the key of the configuration in force.
	keyState = "state"
	// readWait is how long a read waits for a new version.
	readWait = time.Second
	// retryPause is the pause after a failed call to the log.
	retryPause = 150 * time.Millisecond
	// publishTimeout bounds a publish with all its repeats.
	publishTimeout = 5 * time.Second
	// baseReads is the number of reads after which a base version that is not known does not exist.
	baseReads = 2
	// appendTimeout bounds one append of a publish.
	appendTimeout = 1500 * time.Millisecond
)

// Publisher follows the configuration and publishes changes.
type Publisher struct {
	Log    journaler.Log
	Logger hclog.Logger
	// OnUpdate is called with each new state, in order.
	OnUpdate func(*Snapshot)

	cursor journaler.Cursor

	mu      sync.Mutex
	state   *Snapshot
	next    model.Offset
	loaded  bool
	changed chan struct{} // closed after each read
}

// State returns the configuration in force, or nil before the log was read.
func (p *Publisher) State() *Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state
}

// Run follows the configuration until the context ends.
func (p *Publisher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := p.step(ctx); err != nil && ctx.Err() == nil {
			p.Logger.Debug("the configuration can't be read", "error", err)
			sleep(ctx, retryPause)
		}
	}
}

func (p *Publisher) step(ctx context.Context) error {
	u, err := p.cursor.Read(ctx, p.Log, readWait)
	if err != nil {
		return err
	}
	p.apply(u.Records, u.NextOffset)
	return nil
}

// apply puts new versions in force.
func (p *Publisher) apply(records []journaler.Record, next model.Offset) {
	for _, r := range records {
		if r.Key != keyState || len(r.Value) == 0 {
			continue
		}
		s := &Snapshot{}
		if err := json.Unmarshal(r.Value, s); err != nil {
			p.Logger.Error("a configuration can't be read and is left out", "offset", r.Offset, "error", err)
			continue
		}
		p.enforce(s)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state == nil {
		p.state = &Snapshot{}
	}
	p.next, p.loaded = next, true
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
}

// enforce puts a state in force unless a newer one already is.
func (p *Publisher) enforce(s *Snapshot) {
	p.mu.Lock()
	if p.state != nil && s.Version <= p.state.Version {
		p.mu.Unlock()
		return
	}
	p.state = s
	p.mu.Unlock()
	p.Logger.Info("configuration in force", "version", s.Version, "publish", s.Publish)
	p.OnUpdate(s)
}

// await returns after the next read of the log.
func (p *Publisher) await(ctx context.Context) error {
	p.mu.Lock()
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	ch := p.changed
	p.mu.Unlock()
	select {
	case <-ch:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Publish changes the configuration and returns the version, which is in force on this host by then.
func (p *Publisher) Publish(ctx context.Context, pub model.PublishRequest) (model.ConfigVersion, error) {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	id := uuid.NewString()
	unsure := false
	for reads := 0; ; reads++ {
		p.mu.Lock()
		state, at, loaded := p.state, p.next, p.loaded
		p.mu.Unlock()
		if !loaded {
			return 0, notReady()
		}
		if state.Publish == id {
			return state.Version, nil
		}
		if pub.BaseVersion > state.Version && reads < baseReads {
			if p.await(ctx) != nil {
				return 0, notReady()
			}
			continue // another host has the version already
		}
		next, refused := state.judge(id, pub)
		if refused != nil {
			return 0, refused
		}
		err := p.append(ctx, next, at)
		var moved *journaler.OffsetMismatchError
		switch {
		case err == nil, errors.As(err, &moved):
		case errors.Is(err, journaler.ErrRejected) && !unsure:
			return 0, refusedByLog(err)
		default:
			unsure = true
		}
		if p.await(ctx) != nil {
			return 0, unknown()
		}
	}
}

func (p *Publisher) append(ctx context.Context, s *Snapshot, at model.Offset) error {
	value, err := json.Marshal(s)
	if err != nil {
		return errors.Mark(err, journaler.ErrRejected)
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err = p.Log.Append(ctx, []journaler.Record{{Key: keyState, Value: value}}, journaler.AppendCondition{ExpectedEnd: &at})
	return err
}

// retryAfterMS is the advice to operators whose publish was refused.
const retryAfterMS model.Millis = 1000

func notReady() error {
	return &model.Error{
		Outcome: model.OutcomeNotRun, Kind: model.ErrorKindNotReady, Message: "the configuration has not been read yet",
		Remedy: "try again or use another entry host", RetryAfterMS: retryAfterMS,
	}
}

func refusedByLog(err error) error {
	return &model.Error{
		Outcome: model.OutcomeNotRun, Kind: model.ErrorKindLogUnavailable, Message: "the log refused the publish: " + err.Error(),
		Remedy: "try again later", RetryAfterMS: retryAfterMS,
	}
}

func unknown() error {
	return &model.Error{
		Outcome: model.OutcomeUnknown, Kind: model.ErrorKindLogUnavailable, Message: "the log gave no answer in time",
		Remedy: "read the configuration before publishing again",
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
