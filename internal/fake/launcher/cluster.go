package launcher

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/fake/fault"
	"chestnutmux.example/chestnutmux/internal/fake/platform"
	"chestnutmux.example/chestnutmux/internal/fake/runner"
	"chestnutmux.example/chestnutmux/internal/fake/worker"
	"chestnutmux.example/chestnutmux/internal/settings"
	"chestnutmux.example/chestnutmux/pkg/client"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// stopBound is how long a process may take to stop.
const stopBound = 40 * time.Second

// Options describe the processes to start.
type Options struct {
	// BinDir is the directory of the built programs.
	BinDir string
	// DeployDir is the directory with the files fakes.hujson and entry.hujson.
	DeployDir string
	// WorkDir is an existing directory for settings and logs of the processes.
	WorkDir string
	// HostsPerDomain is the number of entry hosts in each failure domain.
	HostsPerDomain map[model.DomainID]int
	// UseRelays puts a relay between each entry host and the log, so that it can be cut off.
	UseRelays bool
	// AdjustSettings changes the settings of each entry host before it starts; it may be nil.
	AdjustSettings func(*settings.Settings)
	// AdjustFakes changes the deployment of the fakes; it may be nil.
	AdjustFakes func(*platform.Deployment)
}

// Host is one entry host as a process.
type Host struct {
	Settings settings.Settings
	path     string
	process  *process
}

// URL returns the base URL of the host.
func (h *Host) URL() string { return "http://" + h.Settings.ListenAddr }

// Cluster is a running deployment.
type Cluster struct {
	Hosts []*Host
	Fakes platform.ReadyLine

	opts  Options
	fakes *process
}

// Start starts the fakes and all entry hosts; the caller stops the cluster.
func Start(o Options) (*Cluster, error) {
	c := &Cluster{opts: o}
	if err := c.start(); err != nil {
		return nil, errors.CombineErrors(err, c.Stop())
	}
	return c, nil
}

func (c *Cluster) start() error {
	d, err := platform.Load(filepath.Join(c.opts.DeployDir, "fakes.hujson"))
	if err != nil {
		return err
	}
	base, err := settings.Load(filepath.Join(c.opts.DeployDir, "entry.hujson"))
	if err != nil {
		return err
	}
	if err := c.plan(&d, base); err != nil {
		return err
	}
	if err := c.startFakes(d); err != nil {
		return err
	}
	for _, h := range c.Hosts {
		h.Settings.LogURL, h.Settings.HostListURL = c.logURL(h.Settings.HostID), c.Fakes.HostListURL
		if err := c.StartHost(h); err != nil {
			return err
		}
	}
	return nil
}

// plan chooses addresses for the entry hosts and lists them in the deployment.
func (c *Cluster) plan(d *platform.Deployment, base settings.Settings) error {
	for _, dom := range d.Domains {
		for i := range c.opts.HostsPerDomain[dom.ID] {
			s := base
			s.HostID = model.HostID(fmt.Sprintf("%s-e%d", dom.ID, i+1))
			s.FailureDomain, s.Region = dom.ID, dom.Region
			if err := setAddresses(&s); err != nil {
				return err
			}
			if c.opts.AdjustSettings != nil {
				c.opts.AdjustSettings(&s)
			}
			c.Hosts = append(c.Hosts, &Host{Settings: s})
			d.EntryHosts = append(d.EntryHosts, platform.EntryHost{
				ID: s.HostID, Addr: s.ListenAddr, Domain: s.FailureDomain,
			})
		}
	}
	if c.opts.UseRelays {
		d.RelayIP = "127.0.0.1"
	}
	if c.opts.AdjustFakes != nil {
		c.opts.AdjustFakes(d)
	}
	return nil
}

func setAddresses(s *settings.Settings) error {
	var err error
	s.ListenAddr, err = freeAddress()
	return err
}

// Entry hosts listen on ports below the ephemeral range: a port of that range can be taken by any connection or
// listener of the machine between the choice and the start, also while the host is down between a kill and a restart.
const (
	firstPort = 10_000
	portRange = 20_000
)

// ports counts the ports tried; the process id spreads the launchers that run at the same time.
var ports atomic.Uint32

// freeAddress finds a port that no other host of this launcher uses and that is free now.
func freeAddress() (string, error) {
	var l net.Listener
	err := errors.New("launcher: no free port")
	for range portRange {
		n := (uint32(os.Getpid())*97 + ports.Add(1)) % portRange
		if l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+n)); err == nil {
			return l.Addr().String(), l.Close()
		}
	}
	return "", errors.Wrap(err, "launcher: no free port")
}

func (c *Cluster) startFakes(d platform.Deployment) error {
	path := filepath.Join(c.opts.WorkDir, "fakes.json")
	if err := writeJSON(path, d); err != nil {
		return err
	}
	p, line, err := startProcess(filepath.Join(c.opts.WorkDir, "fakes.log"), true, filepath.Join(c.opts.BinDir, "chestnutmux-fakes"), path)
	if err != nil {
		return err
	}
	c.fakes = p
	return errors.Wrap(json.Unmarshal([]byte(line), &c.Fakes), "launcher: ready line of the fakes")
}

func writeJSON(path string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "launcher")
	}
	return errors.Wrap(os.WriteFile(path, data, 0o600), "launcher")
}

// AddHost lists and starts a further entry host in the failure domain of another one, with a new id and new addresses.
func (c *Cluster) AddHost(id model.HostID, like *Host) (*Host, error) {
	s := like.Settings
	s.HostID = id
	if err := setAddresses(&s); err != nil {
		return nil, err
	}
	entry := map[string]string{"addr": s.ListenAddr, "domain": string(s.FailureDomain)}
	if err := c.admin(http.MethodPut, "/admin/hosts/"+string(id), entry, nil); err != nil {
		return nil, err
	}
	h := &Host{Settings: s}
	c.Hosts = append(c.Hosts, h)
	return h, c.StartHost(h)
}

// IsRunning reports whether the process of the host has not ended.
func (h *Host) IsRunning() bool {
	if h.process == nil {
		return false
	}
	select {
	case <-h.process.done:
		return false
	default:
		return true
	}
}

// StartHost starts an entry host that is not running.
func (c *Cluster) StartHost(h *Host) error {
	h.path = filepath.Join(c.opts.WorkDir, string(h.Settings.HostID)+".json")
	if err := writeJSON(h.path, h.Settings); err != nil {
		return err
	}
	log := filepath.Join(c.opts.WorkDir, string(h.Settings.HostID)+".log")
	p, _, err := startProcess(log, false, filepath.Join(c.opts.BinDir, "chestnutmux"), "serve", "--settings", h.path)
	h.process = p
	return err
}

// Host returns the entry host with the id, or nil.
func (c *Cluster) Host(id model.HostID) *Host {
	for _, h := range c.Hosts {
		if h.Settings.HostID == id {
			return h
		}
	}
	return nil
}

// Client returns a client of an entry host.
func (c *Cluster) Client(h *Host, token string) *client.Client {
	return &client.Client{BaseURL: h.URL(), Token: token}
}

// KillHost ends an entry host without warning.
func (c *Cluster) KillHost(h *Host) error {
	if err := h.process.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-h.process.done
	return nil
}

// PauseHost stops an entry host's process until Resume.
func (c *Cluster) PauseHost(h *Host) error { return h.process.signal(syscall.SIGSTOP) }

// ResumeHost lets a paused process go on.
func (c *Cluster) ResumeHost(h *Host) error { return h.process.signal(syscall.SIGCONT) }

// TerminateHost asks an entry host to shut down gracefully and waits for its end.
func (c *Cluster) TerminateHost(h *Host) error {
	if err := h.process.signal(syscall.SIGTERM); err != nil {
		return err
	}
	return h.process.wait(stopBound)
}

// Stop ends all processes of the cluster, and only those.
func (c *Cluster) Stop() error {
	var err error
	for _, h := range c.Hosts {
		if h.process == nil {
			continue
		}
		_ = h.process.signal(syscall.SIGKILL)
		<-h.process.done
	}
	if c.fakes != nil {
		_ = c.fakes.signal(syscall.SIGTERM)
		err = errors.CombineErrors(err, c.fakes.wait(stopBound))
	}
	return err
}

// SetFaults sets the faults of a fake by name; the zero value clears them.
func (c *Cluster) SetFaults(name string, f fault.Faults) error {
	return c.admin(http.MethodPost, "/admin/fakes/"+name+"/faults", f, nil)
}

// KillFake ends a fake, such as the machine of a worker.
func (c *Cluster) KillFake(name string) error {
	return c.admin(http.MethodDelete, "/admin/fakes/"+name, nil, nil)
}

// RestartFake restarts a fake with nothing kept.
func (c *Cluster) RestartFake(name string) error {
	return c.admin(http.MethodPost, "/admin/fakes/"+name+"/restart", nil, nil)
}

// SetHostState changes the state of a listed host.
func (c *Cluster) SetHostState(id model.HostID, state string) error {
	return c.admin(http.MethodPut, "/admin/hosts/"+string(id), map[string]string{"state": state}, nil)
}

// RemoveHost removes a host from the host list.
func (c *Cluster) RemoveHost(id model.HostID) error {
	return c.admin(http.MethodDelete, "/admin/hosts/"+string(id), nil, nil)
}

// Partition cuts entry hosts off from the log.
func (c *Cluster) Partition(hosts []model.HostID, silent bool) error {
	return c.admin(http.MethodPost, "/admin/partition", map[string]any{"hosts": hosts, "silent": silent}, nil)
}

// logURL returns the address at which an entry host reaches the log: its relay, if there is one.
func (c *Cluster) logURL(id model.HostID) string {
	for _, r := range c.Fakes.Relays {
		if r.Name == platform.RelayName(id) {
			return "http://" + r.Addr
		}
	}
	return c.Fakes.LogURL
}

// HealPartitions ends all partitions from the log.
func (c *Cluster) HealPartitions() error {
	return c.admin(http.MethodDelete, "/admin/partition", nil, nil)
}

// LedgerReport returns what the workers have counted.
func (c *Cluster) LedgerReport() (worker.LedgerReport, error) {
	var r worker.LedgerReport
	return r, c.admin(http.MethodGet, "/admin/ledger", nil, &r)
}

// FakeStats returns the counters of a fake by name.
func (c *Cluster) FakeStats(name string) (map[string]int64, error) {
	var s map[string]int64
	return s, c.admin(http.MethodGet, "/admin/fakes/"+name+"/stats", nil, &s)
}

// RunCounts returns how often the runners ran each request.
func (c *Cluster) RunCounts() (runner.RunCounts, error) {
	var r runner.RunCounts
	return r, c.admin(http.MethodGet, "/admin/runs", nil, &r)
}

func (c *Cluster) admin(method, path string, in, out any) error {
	data, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "launcher")
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopBound)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, c.Fakes.AdminURL+path, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "launcher")
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return errors.Wrap(err, "launcher")
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(err, "launcher")
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return errors.Newf("launcher: %s %s: %s: %s", method, path, resp.Status, body)
	}
	if out == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(body, out), "launcher")
}
