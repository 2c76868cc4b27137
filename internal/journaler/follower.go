package journaler

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
)

const (
	// readWait bounds how long a read waits for a record. The elector needs to know at least this often whether the log
	// responds.
	readWait = 600 * time.Millisecond
	// recoveryWait is the wait of a read after a failed one. A read that waits for a record would show only after its wait that the
	// log can be reached again, and submissions that are held wait for that.
	recoveryWait = 20 * time.Millisecond
	// readTimeout is the time until the response to a read begins, in addition to its wait, and the longest pause within the
	// response; it allows for a slow log.
	readTimeout = 700 * time.Millisecond
	// loadTimeout is the time until the response with a page of a snapshot begins.
	loadTimeout = 1500 * time.Millisecond
	// maxTransferTime bounds a read whose response arrives all the time.
	maxTransferTime = 10 * time.Second
	// retryDelay is the delay before a failed call to the log is retried.
	retryDelay = 150 * time.Millisecond
)

// Follower keeps a replica up to date with the log.
type Follower struct {
	Log     Log
	Replica *Replica
	Logger  hclog.Logger
	// MinReadInterval returns the minimum time between the starts of two reads, so that a burst of records costs fewer calls.
	MinReadInterval func() time.Duration
	// OnChange is called in log order for each record that changes a job or the term.
	OnChange func(Change)
	// OnReadResult is called after each call to the log; ok says whether the call succeeded.
	OnReadResult func(ok bool)
	// OnSnapshotLoaded is called after a snapshot has replaced the replica's state.
	OnSnapshotLoaded func()

	cursor         Cursor
	lastReadFailed bool
}

// Run reads the log and applies its records until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		start := time.Now()
		err := f.Replica.Recoverer.Call("follower", func() error { return f.readOnce(ctx) })
		if ctx.Err() != nil {
			return
		}
		f.handleReadResult(err)
		delay := f.MinReadInterval() - time.Since(start)
		if err != nil {
			delay = retryDelay
		}
		sleep(ctx, delay)
	}
}

// handleReadResult logs when calls to the log start to fail or succeed again, and calls OnReadResult.
func (f *Follower) handleReadResult(err error) {
	if failed := err != nil; failed != f.lastReadFailed {
		f.lastReadFailed = failed
		if failed {
			f.Logger.Warn("connection lost", "dependency", "log", "error", err)
		} else {
			f.Logger.Info("connection restored", "dependency", "log", "next", f.Replica.NextOffset())
		}
	}
	if f.OnReadResult != nil {
		f.OnReadResult(err == nil)
	}
}

// readOnce reads the next records or a snapshot and applies what it has read.
func (f *Follower) readOnce(ctx context.Context) error {
	wait := readWait
	if f.lastReadFailed {
		wait = recoveryWait
	}
	u, err := f.cursor.Read(ctx, f.Log, wait)
	if err != nil {
		return err
	}
	if u.IsSnapshot {
		f.loadSnapshot(u)
		return nil
	}
	f.applyRecords(u.Records)
	return nil
}

func (f *Follower) applyRecords(records []Record) {
	for _, r := range records {
		c, ok := f.Replica.Apply(r)
		if !ok || f.OnChange == nil {
			continue
		}
		_ = f.Replica.Recoverer.Call("follower", func() error { // a panic is logged, and the next record may be sound
			f.OnChange(c)
			return nil
		})
	}
}

// loadSnapshot replaces the replica's state with a snapshot.
func (f *Follower) loadSnapshot(u Update) {
	f.Replica.LoadSnapshot(u.Records, u.NextOffset)
	f.Logger.Info("loaded a snapshot of the log", "records", len(u.Records), "next", u.NextOffset)
	if f.OnSnapshotLoaded != nil {
		f.OnSnapshotLoaded()
	}
}

// sleep waits for d or until the context ends.
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
