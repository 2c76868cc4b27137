package reserver

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/hostclient"
	"chestnutmux.example/chestnutmux/internal/workerclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// direct applies batches to modelled workers; every third batch loses its answer.
type direct struct {
	mu sync.Mutex
	s  *sim
	n  int
}

func (d *direct) Send(_ context.Context, addr string, b workerclient.Batch) (workerclient.Reply, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.s.now = time.Now()
	for _, w := range d.s.workers {
		if w.host.Addr != addr {
			continue
		}
		rep := w.serve(d.s, b)
		if d.n++; d.n%3 == 0 {
			return workerclient.Reply{}, &workerclient.Error{Outcome: model.OutcomeUnknown, Err: errors.New("lost")}
		}
		return rep, nil
	}
	return workerclient.Reply{}, &workerclient.Error{Outcome: model.OutcomeNotRun, Err: errors.New("no such worker")}
}

// Guards against a driver that loses events, replies, failures or reports, or does not end.
func TestDriver(t *testing.T) {
	is := is.New(t)
	s := newSim(1, 3, 0)
	list := Hosts{}
	inv := Inventory{}
	for i, w := range s.workers {
		w.host.Addr = string(w.host.ID)
		list.Hosts = append(list.Hosts, w.host)
		inv.Positions = append(inv.Positions, Position{"r", i})
	}
	list.Hosts = append(list.Hosts, hostclient.Host{ID: "gone", Role: hostclient.RoleWorker, Domain: "d", Rack: "r", State: hostclient.StateLive, Index: 9})
	d := NewDriver(New(Config{Host: "h", Domain: "d", RetryMin: time.Millisecond}), &direct{s: s})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { d.Run(ctx); close(ended) }()
	post := func(ev Event) { is.NoErr(d.Post(ctx, ev)) }
	post(inv)
	post(TakeOver{})
	list.ReadAt = time.Now().Add(time.Second) // read after the takeover
	post(list)
	up := 0
	for started := false; !started; {
		for _, rep := range <-d.Reports() {
			switch rep := rep.(type) {
			case WorkerUp:
				up++
			case GangRefused:
				is.Equal(rep.Gang, model.GangID("j/1"))
				up = 3 // try again
			case GangStarted:
				started = true
			}
			if up == 3 && d.Status().Role == RolePlanner {
				up++
				post(StartGang{Gang: "j/1", Job: "j", AcceptedAt: time.Now().Add(time.Hour), Workers: []model.HostID{"w00", "w01", "w02"}, Accelerators: 8})
			}
		}
	}
	is.Equal(d.Status().Gangs, 1)
	cancel()
	<-ended
}
