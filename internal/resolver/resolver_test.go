package resolver

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a host that takes old news for new, and against one that never answers because no age limit is set.
func TestResolverKnowsHowOldItsTableCanBe(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	unlimited := &Resolver{}
	is.True(unlimited.IsCurrent(now, 0))
	r := &Resolver{MaxAge: 4 * time.Second}
	is.True(!r.IsCurrent(now, time.Hour)) // never confirmed
	r.Confirm(time.Time{})
	is.True(!r.IsCurrent(now, 0))
	r.Confirm(now.Add(-3 * time.Second))
	r.Confirm(now.Add(-5 * time.Second)) // from a host that knows less
	is.True(r.IsCurrent(now, 0))
	is.True(!r.IsCurrent(now.Add(time.Second), 0))
	is.True(r.IsCurrent(now.Add(time.Second), time.Second))
}
