package platform

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/fake/fault"
	"chestnutmux.example/chestnutmux/internal/fake/hosts"
	"chestnutmux.example/chestnutmux/internal/fake/log"
	"chestnutmux.example/chestnutmux/internal/fake/relay"
	"chestnutmux.example/chestnutmux/internal/fake/runner"
	"chestnutmux.example/chestnutmux/internal/fake/server"
	"chestnutmux.example/chestnutmux/internal/fake/worker"
	"chestnutmux.example/chestnutmux/internal/hostclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// The names of the fakes that each platform has once; the others are named by host id.
const (
	LogName      = "log"
	HostListName = "hosts"
)

// milliPerCore converts cores to thousandths of a core.
const milliPerCore = 1000

// Platform is a running deployment of fakes.
type Platform struct {
	Log      *log.Log
	HostList *hosts.HostList
	Fleet    *worker.Fleet // the state of all workers
	Workers  map[model.HostID]*worker.Worker
	Runners  map[model.HostID]*runner.Runner

	deployment Deployment
	admin      *server.Server

	mu     sync.Mutex
	fakes  map[string]*fake
	relays map[model.HostID]*relay.Relay // between an entry host and the log
}

// fake is what the admin listener knows of a fake.
type fake struct {
	kind    string
	addr    func() string
	faults  *fault.Injector
	handler http.Handler // serves /admin/
	restart func() error
	kill    func() error
}

// Start starts all fakes of a deployment; the caller closes the platform.
func Start(d Deployment) (*Platform, error) {
	p := &Platform{
		Fleet: worker.NewFleet(worker.Options{
			DefaultRunTime: ms(d.Tasks.DefaultRunMS), StopDuration: ms(d.Tasks.StopMS), GangTimeout: ms(d.Tasks.GangWaitMS), MaxLeaseDuration: ms(d.Tasks.MaxLeaseMS),
		}),
		Workers: map[model.HostID]*worker.Worker{}, Runners: map[model.HostID]*runner.Runner{},
		deployment: d, fakes: map[string]*fake{}, relays: map[model.HostID]*relay.Relay{},
	}
	if err := p.start(); err != nil {
		return nil, errors.CombineErrors(err, p.Close())
	}
	return p, nil
}

func (p *Platform) start() error {
	d := p.deployment
	if err := d.check(); err != nil {
		return errors.Wrap(err, "platform")
	}
	p.Log = log.New(log.Options{
		Retention: ms(d.Log.RetentionMS), AppendsPerSecond: d.Log.AppendsPerSecond,
	})
	if _, err := p.serve(LogName, "log", d.Log.Addr, p.Log.Handler(), &p.Log.Injector, p.Log.DropRequests); err != nil {
		return err
	}
	p.HostList = hosts.New(hosts.Options{})
	if _, err := p.serve(HostListName, "hosts", d.HostList.Addr, p.HostList.Handler(), &p.HostList.Injector, p.HostList.DropRequests); err != nil {
		return err
	}
	for _, x := range d.Domains {
		if err := p.startDomain(x); err != nil {
			return err
		}
	}
	for _, e := range d.EntryHosts {
		if err := p.PutEntryHost(e); err != nil {
			return err
		}
	}
	p.HostList.SetLag(ms(d.HostList.LagMS)) // the hosts above are listed from the start
	var err error
	p.admin, err = server.Start(orFree(d.AdminAddr), p.adminHandler())
	return err
}

func (p *Platform) startDomain(d Domain) error {
	next := &ports{ip: d.IP, next: d.FirstPort}
	for _, rack := range d.Racks {
		for i := range rack.Workers {
			h := hostclient.Host{
				ID:   model.HostID(fmt.Sprintf("%s-%s-%d", d.ID, rack.ID, i)),
				Role: hostclient.RoleWorker, Domain: d.ID, Region: d.Region, Rack: rack.ID, Index: i,
			}
			h.Capacity = model.Resources{
				Cores: model.MilliCores(rack.Cores) * milliPerCore, MemoryMB: rack.MemoryMB, Accelerators: rack.Accelerators,
			}
			w := worker.NewWorker(p.Fleet, h.ID, h.Capacity)
			if err := p.startHost(h, next.addr(), w.Handler(), &w.Injector, w.Restart); err != nil {
				return err
			}
			p.Workers[h.ID] = w
		}
	}
	for _, group := range d.Runners {
		for i := range group.Count {
			h := hostclient.Host{
				ID:   model.HostID(fmt.Sprintf("%s-%s-%d", d.ID, group.Service, i)),
				Role: hostclient.RoleRunner, Domain: d.ID, Region: d.Region, Service: group.Service,
			}
			r := runner.New(runner.Config{HostID: h.ID, Slots: group.Slots, DefaultRunTime: ms(group.DefaultRunMS)})
			if err := p.startHost(h, next.addr(), r.Handler(), &r.Injector, r.Restart); err != nil {
				return err
			}
			p.Runners[h.ID] = r
		}
	}
	return nil
}

// startHost starts a machine and lists it.
func (p *Platform) startHost(h hostclient.Host, addr string, handler http.Handler, faults *fault.Injector, reset func()) error {
	addr, err := p.serve(string(h.ID), string(h.Role), addr, handler, faults, reset)
	if err != nil {
		return err
	}
	h.Addr, h.State = addr, hostclient.StateLive
	p.HostList.Put(h)
	return nil
}

// serve starts the listener of a fake; reset loses what the fake loses when its process ends.
func (p *Platform) serve(name, kind, addr string, handler http.Handler, faults *fault.Injector, reset func()) (string, error) {
	srv, err := server.Start(orFree(addr), handler)
	if err != nil {
		return "", errors.Wrapf(err, "platform: %s", name)
	}
	f := &fake{kind: kind, addr: srv.Addr, faults: faults, handler: handler}
	f.kill = func() error {
		err := srv.Close()
		reset()
		return err
	}
	f.restart = func() error { return errors.CombineErrors(f.kill(), srv.Restart()) }
	return srv.Addr(), p.add(name, f)
}

func (p *Platform) add(name string, f *fake) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fakes[name] != nil {
		return errors.CombineErrors(errors.Newf("platform: two fakes are named %q", name), f.kill())
	}
	p.fakes[name] = f
	return nil
}

// Close stops all fakes.
func (p *Platform) Close() error {
	var err error
	if p.admin != nil {
		err = p.admin.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range p.fakes {
		err = errors.CombineErrors(err, f.kill())
	}
	return err
}

// LogURL returns the base URL of the log.
func (p *Platform) LogURL() string { return p.url(LogName) }

// HostListURL returns the base URL of the host list.
func (p *Platform) HostListURL() string { return p.url(HostListName) }

// AdminURL returns the base URL of the admin listener.
func (p *Platform) AdminURL() string { return p.admin.URL() }

// SetFaults replaces the faults of the named fake.
func (p *Platform) SetFaults(name string, f fault.Faults) error {
	x, err := p.fake(name)
	if err != nil {
		return err
	}
	x.faults.SetFaults(f)
	return nil
}

// RestartFake restarts the named fake on its address, also one that was killed.
func (p *Platform) RestartFake(name string) error {
	x, err := p.fake(name)
	if err != nil {
		return err
	}
	return x.restart()
}

// KillFake ends the named fake as the loss of its machine does; the host list is left as it is.
func (p *Platform) KillFake(name string) error {
	x, err := p.fake(name)
	if err != nil {
		return err
	}
	return x.kill()
}

// SetHostLeaving lists a host as leaving or live again, and lets a runner say so in its answers.
func (p *Platform) SetHostLeaving(id model.HostID, leaving bool) error {
	state := hostclient.StateLive
	if leaving {
		state = hostclient.StateLeaving
	}
	if !p.HostList.Update(id, func(h *hostclient.Host) { h.State = state }) {
		return errors.Newf("platform: host %q is not listed", id)
	}
	if r := p.Runners[id]; r != nil {
		r.SetLeaving(leaving)
	}
	return nil
}

// RunCounts returns how often each request id was run, over all runners.
func (p *Platform) RunCounts() map[model.RequestID]int {
	all := map[model.RequestID]int{}
	for _, r := range p.Runners {
		for id, n := range r.RunCounts() {
			all[id] += n
		}
	}
	return all
}

// FakeNames returns the names of all fakes in order.
func (p *Platform) FakeNames() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.fakes))
}

func (p *Platform) fake(name string) (*fake, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f := p.fakes[name]; f != nil {
		return f, nil
	}
	return nil, errors.Newf("platform: no fake is named %q", name)
}

func (p *Platform) url(name string) string {
	f, err := p.fake(name)
	if err != nil {
		return ""
	}
	return "http://" + f.addr()
}

func orFree(addr string) string {
	if addr == "" {
		return "127.0.0.1:0"
	}
	return addr
}

func ms(n model.Millis) time.Duration { return time.Duration(n) * time.Millisecond }
