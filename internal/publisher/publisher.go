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
	// configKey is the record key of the configuration; the newest record with this key is current.
	configKey = "state"
	// pollWait is the maximum time that a long poll of the log waits for a new record.
	pollWait = time.Second
	// pollRetryDelay is the delay before a failed read of the log is retried.
	pollRetryDelay = 150 * time.Millisecond
	// publishTimeout limits a publish, including all its retries.
	publishTimeout = 5 * time.Second
	// maxBaseReads is the number of reads of the log for which a publish waits if this host does not know its base version yet,
	// which another host may have read earlier. After that, the base version is assumed not to exist.
	maxBaseReads = 2
	// appendTimeout limits one append to the log.
	appendTimeout = 1500 * time.Millisecond
)

// Publisher follows the published configuration and publishes changes to it.
type Publisher struct {
	Log    journaler.Log
	Logger hclog.Logger
	// OnUpdate is called with each new configuration, in ascending order of versions.
	OnUpdate func(*StoredConfig)
	// OnConfirm is called with a time at which the newest configuration was the given version, 0 if none had been published. It is not called
	// while the newest configuration can't be decoded. It may be nil.
	OnConfirm func(v model.ConfigVersion, at time.Time)

	cursor     journaler.Cursor
	undecoded  bool         // the newest configuration can't be decoded
	newestRead model.Offset // offset of the newest configuration that was read

	mu         sync.Mutex
	current    *StoredConfig // newest configuration; nil before the first read, empty while none has been published
	nextOffset model.Offset  // offset after the last record read
	loaded     bool          // the log was read at least once
	readDone   chan struct{} // closed after the next successful read; nil if no publish waits for it
}

// Current returns the newest configuration. It is nil before the first read of the log, and empty while none has been published.
func (p *Publisher) Current() *StoredConfig {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current
}

// Run follows the configuration until ctx ends.
func (p *Publisher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := p.readNext(ctx); err != nil && ctx.Err() == nil {
			p.Logger.Debug("reading the configuration failed, retrying", "error", err)
			sleep(ctx, pollRetryDelay)
		}
	}
}

// readNext waits for new records in the log and applies them.
func (p *Publisher) readNext(ctx context.Context) error {
	update, err := p.cursor.Read(ctx, p.Log, pollWait)
	if err != nil {
		return err
	}
	p.applyRecords(update.Records, update.NextOffset)
	if p.OnConfirm != nil && !p.undecoded {
		p.OnConfirm(p.Current().Version, update.ConfirmedAt)
	}
	return nil
}

// applyRecords activates the configurations in new records and wakes up the publishes in awaitRead.
func (p *Publisher) applyRecords(records []journaler.Record, nextOffset model.Offset) {
	for _, r := range records {
		if r.Key != configKey || len(r.Value) == 0 {
			continue
		}
		s := &StoredConfig{}
		err := json.Unmarshal(r.Value, s)
		if r.Offset >= p.newestRead { // a snapshot may come from a host that has read less
			p.undecoded, p.newestRead = err != nil, r.Offset
		}
		if err != nil {
			p.Logger.Error("ignoring undecodable configuration", "offset", r.Offset, "error", err,
				"remedy", "upgrade this host, or publish the configuration again; until then no tasks start if evacuation-ms is set")
			continue
		}
		p.activate(s)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == nil {
		p.current = &StoredConfig{}
	}
	p.nextOffset, p.loaded = nextOffset, true
	if p.readDone != nil {
		close(p.readDone)
		p.readDone = nil
	}
}

// activate makes s the current configuration and calls OnUpdate, unless the current configuration is at least as new.
func (p *Publisher) activate(s *StoredConfig) {
	p.mu.Lock()
	if p.current != nil && s.Version <= p.current.Version {
		p.mu.Unlock()
		return
	}
	p.current = s
	p.mu.Unlock()
	p.Logger.Info("configuration applied", "version", s.Version, "publish", s.PublishID)
	p.OnUpdate(s)
}

// awaitRead waits until the next successful read of the log has been applied.
func (p *Publisher) awaitRead(ctx context.Context) error {
	p.mu.Lock()
	if p.readDone == nil {
		p.readDone = make(chan struct{})
	}
	readDone := p.readDone
	p.mu.Unlock()
	select {
	case <-readDone:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Publish publishes changes to the configuration and returns the new version once it is active on this host.
//
// After an append whose outcome is unknown, Publish waits for the next read of the log. If the newest configuration then has
// the id of this publish, the append succeeded; otherwise Publish retries on top of the newest configuration.
func (p *Publisher) Publish(ctx context.Context, pub model.PublishRequest) (model.ConfigVersion, error) {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	id := uuid.NewString()
	maybeAppended := false
	for reads := 0; ; reads++ {
		p.mu.Lock()
		current, expectedEnd, loaded := p.current, p.nextOffset, p.loaded
		p.mu.Unlock()
		if !loaded {
			return 0, notReadyError()
		}
		if current.PublishID == id {
			return current.Version, nil
		}
		if pub.BaseVersion > current.Version && reads < maxBaseReads {
			if p.awaitRead(ctx) != nil {
				return 0, notReadyError()
			}
			continue // another host may have read the base version earlier
		}
		next, refusal := current.applyPublish(id, pub)
		if refusal != nil {
			return 0, refusal
		}
		err := p.append(ctx, next, expectedEnd)
		var mismatch *journaler.OffsetMismatchError
		switch {
		case err == nil, errors.As(err, &mismatch):
		case errors.Is(err, journaler.ErrNotAppended) && !maybeAppended:
			return 0, logRefusedError(err)
		default:
			maybeAppended = true
		}
		if p.awaitRead(ctx) != nil {
			return 0, unknownOutcomeError()
		}
	}
}

// append appends a configuration to the log if the log still ends at expectedEnd.
func (p *Publisher) append(ctx context.Context, s *StoredConfig, expectedEnd model.Offset) error {
	value, err := json.Marshal(s)
	if err != nil {
		return errors.Mark(err, journaler.ErrNotAppended)
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err = p.Log.Append(ctx, []journaler.Record{{Key: configKey, Value: value}}, journaler.AppendCondition{ExpectedEnd: &expectedEnd})
	return err
}

// retryAfterMS is the Retry-After hint to operators whose publish is refused because the log was not read yet or refused it.
const retryAfterMS model.Millis = 1000

func notReadyError() error {
	return &model.Error{
		Outcome: model.OutcomeNotRun, Kind: model.ErrorKindNotReady, Message: "the configuration has not been read yet",
		Remedy: "try again or use another entry host", RetryAfterMS: retryAfterMS,
	}
}

func logRefusedError(err error) error {
	return &model.Error{
		Outcome: model.OutcomeNotRun, Kind: model.ErrorKindLogUnavailable, Message: "the log refused the publish: " + err.Error(),
		Remedy: "try again later", RetryAfterMS: retryAfterMS,
	}
}

func unknownOutcomeError() error {
	return &model.Error{
		Outcome: model.OutcomeUnknown, Kind: model.ErrorKindLogUnavailable, Message: "the log gave no answer in time",
		Remedy: "read the configuration before publishing again",
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
