package journaler

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
)

const (
	// readWait is how long a read waits for a record; the elector needs an answer at least this often.
	readWait = 600 * time.Millisecond
	// readTimeout bounds a read beyond its wait; it leaves room for a slow log.
	readTimeout = 700 * time.Millisecond
	// loadTimeout bounds one page of a snapshot.
	loadTimeout = 1500 * time.Millisecond
	// retryPause is the pause after a failed call to the log.
	retryPause = 150 * time.Millisecond
)

// Follower keeps a fold up to date with the log.
type Follower struct {
	Log     Log
	Replica *Replica
	Logger  hclog.Logger
	// MinReadInterval returns the least time between two reads; it spaces them, so that bursts of records cost fewer calls.
	MinReadInterval func() time.Duration
	// OnChange is called for each record that has an effect, in the order of the log.
	OnChange func(Change)
	// OnReadResult is called after each call to the log with its success.
	OnReadResult func(ok bool)
	// OnSnapshotLoaded is called after a snapshot has replaced the state.
	OnSnapshotLoaded func()

	cursor Cursor
	lost   bool
}

// Run follows the log until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		f.contact(err)
		pause := f.MinReadInterval() - time.Since(began)
		if err != nil {
			pause = retryPause
		}
		sleep(ctx, pause)
	}
}

func (f *Follower) contact(err error) {
	if lost := err != nil; lost != f.lost {
		f.lost = lost
		if lost {
			f.Logger.Warn("dependency lost", "dependency", "log", "error", err)
		} else {
			f.Logger.Info("dependency regained", "dependency", "log", "next", f.Replica.NextOffset())
		}
	}
	if f.OnReadResult != nil {
		f.OnReadResult(err == nil)
	}
}

func (f *Follower) step(ctx context.Context) error {
	u, err := f.cursor.Read(ctx, f.Log, readWait)
	if err != nil {
		return err
	}
	if u.IsSnapshot {
		f.load(u)
		return nil
	}
	f.apply(u.Records)
	return nil
}

func (f *Follower) apply(records []Record) {
	for _, r := range records {
		if c, ok := f.Replica.Apply(r); ok && f.OnChange != nil {
			f.OnChange(c)
		}
	}
}

// load replaces the state with the newest record of each key.
func (f *Follower) load(u Update) {
	f.Replica.LoadSnapshot(u.Records, u.NextOffset)
	f.Logger.Info("jobs loaded from the log", "records", len(u.Records), "next", u.NextOffset)
	if f.OnSnapshotLoaded != nil {
		f.OnSnapshotLoaded()
	}
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
