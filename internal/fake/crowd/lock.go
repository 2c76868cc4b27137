package crowd

import (
	"os"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Lock waits until no other process of this machine has a crowd, and returns a function that lets the next one start.
func Lock() (unlock func(), err error) {
	f, err := os.OpenFile(filepath.Join(os.TempDir(), "chestnutmux-crowd.lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "crowd: lock")
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX); err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "crowd: lock"), f.Close())
	}
	return func() { _ = f.Close() }, nil
}
