package reducer

import (
	"fmt"
	"testing"
	"time"

	"chestnutmux.example/chestnutmux/internal/logclient"
	"chestnutmux.example/chestnutmux/pkg/model"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var claims = subject{
	create: func() fold { return &Claims{} },
	draw: func(t *rapid.T) any {
		// The ids differ in their timestamp: the epoch of the test, and 10 minutes later.
		id := pick(t, "id", "019b76da-a800-7000-8000-000000000000", "019b76e3-cfc0-7000-8000-000000000000", "none")
		return ClaimEntry{Claim: &Claim{Workspace: "w", Request: model.RequestID(id), Host: pick(t, "host", model.HostID("h1"), "h2")}}
	},
	snapshot: func(f fold) any { return f.(*Claims).Snapshot() },
	restore:  func(f fold, b []byte) bool { return f.(*Claims).Restore(decodeAs[ClaimsSnapshot](b)) },
	essence: func(f fold) any {
		s := f.(*Claims).Snapshot()
		for i := range s.Claims {
			s.Claims[i].RecordID, s.Claims[i].Index = "", 0
		}
		return s.Claims
	},
}

// A claim must hold while its id is usable, and a host whose view starts later must know that it may miss claims.
func TestClaimsExpireAndCover(t *testing.T) {
	is := is.New(t)
	c := &Claims{}
	c.Skip(5, epoch.Add(time.Hour))
	claim := func(offset model.Offset, at time.Time, host model.HostID) {
		c.Apply(logclient.Record{Offset: offset, ID: fmt.Sprint(offset), AtMS: at.UnixMilli(), Data: encode([]ClaimEntry{
			{Claim: &Claim{Workspace: "w", Request: "019b76e3-cfc0-7000-8000-000000000000", Host: host}}, // epoch + 10 min
		})})
	}
	winner := func() model.HostID {
		w, _ := c.Winner("w", "019b76e3-cfc0-7000-8000-000000000000")
		return w.Host
	}
	claim(5, epoch, "h1")
	is.Equal(c.CompleteSince(), epoch)
	is.True(!c.Covers(epoch.Add(ClaimSkew-1)) && c.Covers(epoch.Add(ClaimSkew)))
	claim(6, epoch.Add(10*time.Minute+ClaimWindow), "h2")
	is.Equal(winner(), model.HostID("h1"))
	claim(7, epoch.Add(10*time.Minute+ClaimWindow+ClaimSkew), "h2")
	is.Equal(winner(), model.HostID("h2"))
}
