package monitor

import (
	"context"
	"sync"
	"time"

	"chestnutmux.example/chestnutmux/internal/hostclient"
	"chestnutmux.example/chestnutmux/internal/peerclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Caller exchanges heartbeats with a peer; peerclient.Client is one.
type Caller interface {
	Heartbeat(ctx context.Context, addr string, p peerclient.Heartbeat) (peerclient.Heartbeat, error)
}

// View is a copy of the membership for other goroutines.
type View struct {
	Members []Member
	Planner model.HostID // of this host's failure domain, empty when none is live
}

// Driver owns a Table, sends heartbeats and publishes views.
type Driver struct {
	cfg    Config
	caller Caller
	beat   func() peerclient.Heartbeat
	views  chan View

	mu    sync.Mutex // guards table; calls of the server come from its own goroutines
	table *Table
}

// NewDriver returns a driver; beat returns this host's current state and is called from several goroutines.
func NewDriver(cfg Config, caller Caller, beat func() peerclient.Heartbeat) *Driver {
	cfg = cfg.withDefaults()
	return &Driver{cfg: cfg, caller: caller, beat: beat, views: make(chan View, 1), table: NewTable(cfg)}
}

// SetHosts passes on a new host list.
func (d *Driver) SetHosts(hosts []hostclient.Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.SetHosts(time.Now(), hosts)
}

// SetDraining says whether this host gives up its roles.
func (d *Driver) SetDraining(draining bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.SetDraining(draining)
}

// Heard answers a heartbeat that a peer sent to this host.
func (d *Driver) Heard(b peerclient.Heartbeat) peerclient.Heartbeat {
	d.mu.Lock()
	d.table.Heard(time.Now(), b)
	d.mu.Unlock()
	return d.beat()
}

// Views delivers the latest view after each local interval; a view that nobody took is replaced.
func (d *Driver) Views() <-chan View { return d.views }

// View returns the membership now.
func (d *Driver) View() View {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	v := View{Members: d.table.Members(now)}
	v.Planner, _ = d.table.Planner(now, d.cfg.Domain)
	return v
}

// Planner returns the live host that plans the failure domain.
func (d *Driver) Planner(domain model.DomainID) (model.HostID, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Planner(time.Now(), domain)
}

// Rank returns the position of this host among the live entry hosts of the domains, and their count.
func (d *Driver) Rank(domains ...model.DomainID) (rank, count int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Rank(time.Now(), domains...)
}

// Run sends heartbeats until the context ends and waits for those in flight.
func (d *Driver) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(d.cfg.LocalEvery)
	defer ticker.Stop()
	due := map[model.HostID]time.Time{}
	busy := map[model.HostID]bool{}
	done := make(chan model.HostID)
	for {
		now := time.Now()
		for _, m := range d.View().Members {
			id := m.Host.ID
			if id == d.cfg.Self || m.Host.PeerAddr == "" || busy[id] || now.Before(due[id]) {
				continue
			}
			every := d.cfg.RemoteEvery
			if m.Host.Domain == d.cfg.Domain {
				every = d.cfg.LocalEvery
			}
			// The peer's own exchange carried both states; one a pair is enough and halves the bytes.
			if m.Beat.Host != "" && now.Sub(m.HeardAt) < every-d.cfg.LocalEvery/2 {
				continue
			}
			// Half a tick of slack keeps timer jitter from skipping a turn.
			due[id], busy[id] = now.Add(every-d.cfg.LocalEvery/2), true
			wg.Go(func() {
				d.exchange(ctx, m.Host, every)
				select {
				case done <- id:
				case <-ctx.Done():
				}
			})
		}
		d.publish()
		if !d.wait(ctx, ticker.C, done, busy) {
			return
		}
	}
}

// wait notes ended exchanges until the next tick and returns false when the context has ended.
func (d *Driver) wait(ctx context.Context, tick <-chan time.Time, done <-chan model.HostID, busy map[model.HostID]bool) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case id := <-done:
			delete(busy, id)
		case <-tick:
			return true
		}
	}
}

func (d *Driver) exchange(ctx context.Context, h hostclient.Host, every time.Duration) {
	// A call that outlasts the suspicion of its peer is of no use.
	ctx, cancel := context.WithTimeout(ctx, time.Duration(d.cfg.SuspectAfter)*every)
	defer cancel()
	b, err := d.caller.Heartbeat(ctx, h.PeerAddr, d.beat())
	if err != nil || b.Host != h.ID {
		return // the missed heartbeat is the signal
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.Heard(time.Now(), b)
}

func (d *Driver) publish() {
	v := d.View()
	select {
	case <-d.views:
	default:
	}
	select {
	case d.views <- v:
	default:
	}
}
