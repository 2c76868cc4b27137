package dispatcher

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a leader that plans all the time: on a large fleet its calls to workers then time out.
func TestPauseBetweenPasses(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.journal.renewAt = f.after(10_000)
	is.True(!f.nextAt().After(f.now)) // a change is waiting
	f.look(f.now)
	is.True(f.planned)
	f.planned = false
	f.lookAt = f.after(40)
	f.look(f.after(30))
	is.True(!f.planned)
	is.Equal(f.nextAt(), f.after(40))
	f.look(f.after(40))
	is.True(f.planned)
	f.planned = true
	f.look(f.after(41))
	is.Equal(f.lookedAt, f.after(40)) // nothing has changed
	f.look(f.after(40).Add(tick))
	is.Equal(f.lookedAt, f.after(40).Add(tick)) // leases and deadlines
}
