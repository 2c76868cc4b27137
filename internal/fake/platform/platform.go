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

// Names of the log and the host list. Workers and runners have their host id as their name; see RelayName for relays.
const (
	LogName      = "log"
	HostListName = "hosts"
)

const milliCoresPerCore = 1000

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
	relays map[model.HostID]*relay.Relay // the relay of each entry host to the log
}

// fake gives the admin interface control of one fake.
type fake struct {
	kind    string
	addr    func() string
	faults  *fault.Injector
	handler http.Handler // serves the /admin/ paths of the fake
	restart func() error
	kill    func() error
}

// Start starts all fakes of a deployment; the caller must close the platform.
func Start(d Deployment) (*Platform, error) {
	p := &Platform{
		Fleet: worker.NewFleet(worker.Options{
			DefaultRunTime: millis(d.Tasks.DefaultRunMS), StopDuration: millis(d.Tasks.StopMS),
			GangTimeout: millis(d.Tasks.GangWaitMS), MaxLeaseDuration: millis(d.Tasks.MaxLeaseMS),
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
	if err := d.validate(); err != nil {
		return errors.Wrap(err, "platform")
	}
	p.Log = log.New(log.Options{
		Retention: millis(d.Log.RetentionMS), AppendsPerSecond: d.Log.AppendsPerSecond,
	})
	if _, err := p.startFake(LogName, "log", d.Log.Addr, p.Log.Handler(), &p.Log.Injector, p.Log.DropRequests); err != nil {
		return err
	}
	p.HostList = hosts.New(hosts.Options{})
	if _, err := p.startFake(HostListName, "hosts", d.HostList.Addr, p.HostList.Handler(), &p.HostList.Injector, p.HostList.DropRequests); err != nil {
		return err
	}
	for _, domain := range d.Domains {
		if err := p.startDomain(domain); err != nil {
			return err
		}
	}
	for _, e := range d.EntryHosts {
		if err := p.PutEntryHost(e); err != nil {
			return err
		}
	}
	p.HostList.SetLag(millis(d.HostList.LagMS)) // set last, so that the hosts above are visible at once
	var err error
	p.admin, err = server.Start(addrOrFreePort(d.AdminAddr), p.adminHandler())
	return err
}

// startDomain starts the workers and runners of a failure domain.
func (p *Platform) startDomain(domain Domain) error {
	addrs := &addrAllocator{ip: domain.IP, nextPort: domain.FirstPort}
	for _, rack := range domain.Racks {
		for i := range rack.Workers {
			h := hostclient.Host{
				ID:   model.HostID(fmt.Sprintf("%s-%s-%d", domain.ID, rack.ID, i)),
				Role: hostclient.RoleWorker, Domain: domain.ID, Region: domain.Region, Rack: rack.ID, Index: i,
			}
			h.Capacity = model.Resources{
				Cores: model.MilliCores(rack.Cores) * milliCoresPerCore, MemoryMB: rack.MemoryMB, Accelerators: rack.Accelerators,
			}
			w := worker.NewWorker(p.Fleet, h.ID, h.Capacity)
			if err := p.startHost(h, addrs.nextAddr(), w.Handler(), &w.Injector, w.Restart); err != nil {
				return err
			}
			p.Workers[h.ID] = w
		}
	}
	for _, group := range domain.Runners {
		for i := range group.Count {
			h := hostclient.Host{
				ID:   model.HostID(fmt.Sprintf("%s-%s-%d", domain.ID, group.Service, i)),
				Role: hostclient.RoleRunner, Domain: domain.ID, Region: domain.Region, Service: group.Service,
			}
			r := runner.New(runner.Config{HostID: h.ID, Slots: group.Slots, DefaultRunTime: millis(group.DefaultRunMS)})
			if err := p.startHost(h, addrs.nextAddr(), r.Handler(), &r.Injector, r.Restart); err != nil {
				return err
			}
			p.Runners[h.ID] = r
		}
	}
	return nil
}

// startHost starts a worker or runner and adds it to the host list.
func (p *Platform) startHost(h hostclient.Host, addr string, handler http.Handler, faults *fault.Injector, reset func()) error {
	addr, err := p.startFake(string(h.ID), string(h.Role), addr, handler, faults, reset)
	if err != nil {
		return err
	}
	h.Addr, h.State = addr, hostclient.StateLive
	p.HostList.Put(h)
	return nil
}

// startFake starts the HTTP server of a fake and registers the fake. On a kill or restart, reset discards the state that a
// real process would lose.
func (p *Platform) startFake(name, kind, addr string, handler http.Handler, faults *fault.Injector, reset func()) (string, error) {
	srv, err := server.Start(addrOrFreePort(addr), handler)
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
	return srv.Addr(), p.register(name, f)
}

// register adds a fake under its name; if the name is taken, it kills the fake and returns an error.
func (p *Platform) register(name string, f *fake) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fakes[name] != nil {
		return errors.CombineErrors(errors.Newf("platform: two fakes are named %q", name), f.kill())
	}
	p.fakes[name] = f
	return nil
}

// Close stops the admin interface and all fakes.
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
func (p *Platform) LogURL() string { return p.baseURL(LogName) }

// HostListURL returns the base URL of the host list.
func (p *Platform) HostListURL() string { return p.baseURL(HostListName) }

// AdminURL returns the base URL of the admin interface.
func (p *Platform) AdminURL() string { return p.admin.URL() }

// SetFaults replaces the faults of the named fake.
func (p *Platform) SetFaults(name string, faults fault.Faults) error {
	found, err := p.findFake(name)
	if err != nil {
		return err
	}
	found.faults.SetFaults(faults)
	return nil
}

// RestartFake restarts the named fake on the same address, also after KillFake.
func (p *Platform) RestartFake(name string) error {
	found, err := p.findFake(name)
	if err != nil {
		return err
	}
	return found.restart()
}

// KillFake stops the named fake as if its machine were lost; the host list does not change.
func (p *Platform) KillFake(name string) error {
	found, err := p.findFake(name)
	if err != nil {
		return err
	}
	return found.kill()
}

// SetHostLeaving sets the state of a host in the list to leaving or live; a leaving runner also reports it in its responses.
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

// RunCounts returns the number of runs of each request id on all runners together.
func (p *Platform) RunCounts() map[model.RequestID]int {
	all := map[model.RequestID]int{}
	for _, r := range p.Runners {
		for id, n := range r.RunCounts() {
			all[id] += n
		}
	}
	return all
}

// FakeNames returns the names of all fakes in alphabetical order.
func (p *Platform) FakeNames() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.fakes))
}

func (p *Platform) findFake(name string) (*fake, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f := p.fakes[name]; f != nil {
		return f, nil
	}
	return nil, errors.Newf("platform: no fake is named %q", name)
}

// baseURL returns the base URL of the named fake, or an empty string if there is none.
func (p *Platform) baseURL(name string) string {
	f, err := p.findFake(name)
	if err != nil {
		return ""
	}
	return "http://" + f.addr()
}

func addrOrFreePort(addr string) string {
	if addr == "" {
		return "127.0.0.1:0"
	}
	return addr
}

func millis(n model.Millis) time.Duration { return time.Duration(n) * time.Millisecond }
