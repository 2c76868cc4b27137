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

// operationTimeout is the time limit for stopping a process and for a request to the admin interface of the fakes.
const operationTimeout = 40 * time.Second

// Options configures a cluster.
type Options struct {
	// BinDir is the directory of the built programs.
	BinDir string
	// DeployDir is the directory with the files fakes.hujson and entry.hujson.
	DeployDir string
	// WorkDir is an existing directory to which the settings and logs of the processes are written.
	WorkDir string
	// HostsPerDomain is the number of entry hosts in each failure domain.
	HostsPerDomain map[model.DomainID]int
	// UseRelays connects each entry host to the log through a relay of its own, as Partition requires.
	UseRelays bool
	// AdjustSettings changes the settings of each entry host before it starts; it may be nil.
	AdjustSettings func(*settings.Settings)
	// AdjustFakes changes the deployment of the fakes before they start; it may be nil.
	AdjustFakes func(*platform.Deployment)
}

// Host is an entry host that runs as a separate process.
type Host struct {
	Settings     settings.Settings
	settingsPath string
	process      *process // nil until the host is started for the first time
}

// URL returns the base URL of the host.
func (h *Host) URL() string { return "http://" + h.Settings.ListenAddr }

// Cluster is a deployment of entry hosts and fakes. Each entry host is a separate process; all fakes share one process.
type Cluster struct {
	Hosts []*Host
	Fakes platform.ReadyLine // addresses of the fakes

	opts         Options
	fakesProcess *process
}

// Start starts the fakes and all entry hosts; the caller must stop the cluster.
func Start(opts Options) (*Cluster, error) {
	c := &Cluster{opts: opts}
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
	baseSettings, err := settings.Load(filepath.Join(c.opts.DeployDir, "entry.hujson"))
	if err != nil {
		return err
	}
	if err := c.planHosts(&d, baseSettings); err != nil {
		return err
	}
	if err := c.startFakes(d); err != nil {
		return err
	}
	for _, h := range c.Hosts {
		h.Settings.LogURL, h.Settings.HostListURL = c.logURLFor(h.Settings.HostID), c.Fakes.HostListURL
		if err := c.StartHost(h); err != nil {
			return err
		}
	}
	return nil
}

// planHosts chooses the settings and addresses of the entry hosts and adds the hosts to the deployment of the fakes.
func (c *Cluster) planHosts(d *platform.Deployment, baseSettings settings.Settings) error {
	for _, domain := range d.Domains {
		for i := range c.opts.HostsPerDomain[domain.ID] {
			s := baseSettings
			s.HostID = model.HostID(fmt.Sprintf("%s-e%d", domain.ID, i+1))
			s.FailureDomain, s.Region = domain.ID, domain.Region
			if err := setListenAddr(&s); err != nil {
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

func setListenAddr(s *settings.Settings) error {
	var err error
	s.ListenAddr, err = findFreeAddr()
	return err
}

// Entry hosts listen on ports below the ephemeral range. Any connection or listener on the machine can take an ephemeral
// port before the host starts to listen on it, or while the host is down between a kill and a restart.
const (
	firstHostPort = 10_000
	hostPortCount = 20_000
)

// portCounter counts the ports tried. findFreeAddr adds an offset derived from the process id, so that concurrent launchers try
// different ports.
var portCounter atomic.Uint32

// findFreeAddr returns a loopback address whose port is free now and was not returned before by this process.
func findFreeAddr() (string, error) {
	var l net.Listener
	err := errors.New("launcher: no free port")
	for range hostPortCount {
		n := (uint32(os.Getpid())*97 + portCounter.Add(1)) % hostPortCount
		if l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstHostPort+n)); err == nil {
			return l.Addr().String(), l.Close()
		}
	}
	return "", errors.Wrap(err, "launcher: no free port")
}

// startFakes starts the process of the fakes and waits for its ready line.
func (c *Cluster) startFakes(d platform.Deployment) error {
	path := filepath.Join(c.opts.WorkDir, "fakes.json")
	if err := writeJSON(path, d); err != nil {
		return err
	}
	p, line, err := startProcess(filepath.Join(c.opts.WorkDir, "fakes.log"), true, filepath.Join(c.opts.BinDir, "chestnutmux-fakes"), path)
	if err != nil {
		return err
	}
	c.fakesProcess = p
	return errors.Wrap(json.Unmarshal([]byte(line), &c.Fakes), "launcher: ready line of the fakes")
}

func writeJSON(path string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "launcher")
	}
	return errors.Wrap(os.WriteFile(path, data, 0o600), "launcher")
}

// AddHost adds another entry host to the host list and starts it. It has the settings of the template, but its own id and
// listen address.
func (c *Cluster) AddHost(id model.HostID, template *Host) (*Host, error) {
	s := template.Settings
	s.HostID = id
	if err := setListenAddr(&s); err != nil {
		return nil, err
	}
	entry := map[string]string{"addr": s.ListenAddr, "domain": string(s.FailureDomain)}
	if err := c.callAdmin(http.MethodPut, "/admin/hosts/"+string(id), entry, nil); err != nil {
		return nil, err
	}
	h := &Host{Settings: s}
	c.Hosts = append(c.Hosts, h)
	return h, c.StartHost(h)
}

// IsRunning reports whether the process of the host was started and has not ended.
func (h *Host) IsRunning() bool {
	if h.process == nil {
		return false
	}
	select {
	case <-h.process.exited:
		return false
	default:
		return true
	}
}

// PID returns the id of the host's newest process.
func (h *Host) PID() int { return h.process.cmd.Process.Pid }

// StartHost writes the settings of an entry host and starts its process, which must not be running.
func (c *Cluster) StartHost(h *Host) error {
	h.settingsPath = filepath.Join(c.opts.WorkDir, string(h.Settings.HostID)+".json")
	if err := writeJSON(h.settingsPath, h.Settings); err != nil {
		return err
	}
	logPath := filepath.Join(c.opts.WorkDir, string(h.Settings.HostID)+".log")
	p, _, err := startProcess(logPath, false, filepath.Join(c.opts.BinDir, "chestnutmux"), "serve", "--settings", h.settingsPath)
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

// Client returns an API client for an entry host.
func (c *Cluster) Client(h *Host, token string) *client.Client {
	return &client.Client{BaseURL: h.URL(), Token: token}
}

// KillHost kills the process of an entry host (SIGKILL) and waits for its end.
func (c *Cluster) KillHost(h *Host) error {
	if err := h.process.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-h.process.exited
	return nil
}

// PauseHost suspends the process of an entry host (SIGSTOP) until ResumeHost.
func (c *Cluster) PauseHost(h *Host) error { return h.process.signal(syscall.SIGSTOP) }

// ResumeHost resumes the suspended process of an entry host (SIGCONT).
func (c *Cluster) ResumeHost(h *Host) error { return h.process.signal(syscall.SIGCONT) }

// TerminateHost asks an entry host to shut down (SIGTERM) and waits for its process to end; after stopTimeout it is killed.
func (c *Cluster) TerminateHost(h *Host) error {
	if err := h.process.signal(syscall.SIGTERM); err != nil {
		return err
	}
	return h.process.waitOrKill(operationTimeout)
}

// Stop ends all processes that the cluster started: it kills the entry hosts and terminates the fakes.
func (c *Cluster) Stop() error {
	var err error
	for _, h := range c.Hosts {
		if h.process == nil {
			continue
		}
		_ = h.process.signal(syscall.SIGKILL)
		<-h.process.exited
	}
	if c.fakesProcess != nil {
		_ = c.fakesProcess.signal(syscall.SIGTERM)
		err = errors.CombineErrors(err, c.fakesProcess.waitOrKill(operationTimeout))
	}
	return err
}

// SetFaults replaces the faults of the named fake; the zero value clears them.
func (c *Cluster) SetFaults(name string, f fault.Faults) error {
	return c.callAdmin(http.MethodPost, "/admin/fakes/"+name+"/faults", f, nil)
}

// KillFake stops the named fake as if its machine were lost.
func (c *Cluster) KillFake(name string) error {
	return c.callAdmin(http.MethodDelete, "/admin/fakes/"+name, nil, nil)
}

// RestartFake restarts the named fake, as if its process had ended and started again.
func (c *Cluster) RestartFake(name string) error {
	return c.callAdmin(http.MethodPost, "/admin/fakes/"+name+"/restart", nil, nil)
}

// SetHostState sets the state of a host in the host list.
func (c *Cluster) SetHostState(id model.HostID, state string) error {
	return c.callAdmin(http.MethodPut, "/admin/hosts/"+string(id), map[string]string{"state": state}, nil)
}

// RemoveHost removes a host from the host list.
func (c *Cluster) RemoveHost(id model.HostID) error {
	return c.callAdmin(http.MethodDelete, "/admin/hosts/"+string(id), nil, nil)
}

// Partition separates entry hosts from the log, which requires UseRelays; a silent partition holds back all data.
func (c *Cluster) Partition(hosts []model.HostID, silent bool) error {
	return c.callAdmin(http.MethodPost, "/admin/partition", map[string]any{"hosts": hosts, "silent": silent}, nil)
}

// logURLFor returns the URL of the relay of an entry host, or that of the log if the host has no relay.
func (c *Cluster) logURLFor(id model.HostID) string {
	for _, r := range c.Fakes.Relays {
		if r.Name == platform.RelayName(id) {
			return "http://" + r.Addr
		}
	}
	return c.Fakes.LogURL
}

// HealPartitions ends all partitions between entry hosts and the log.
func (c *Cluster) HealPartitions() error {
	return c.callAdmin(http.MethodDelete, "/admin/partition", nil, nil)
}

// LedgerReport returns the counts and violations that the fake workers have recorded.
func (c *Cluster) LedgerReport() (worker.LedgerReport, error) {
	var r worker.LedgerReport
	return r, c.callAdmin(http.MethodGet, "/admin/ledger", nil, &r)
}

// FakeStats returns the counters of the named fake.
func (c *Cluster) FakeStats(name string) (map[string]int64, error) {
	var s map[string]int64
	return s, c.callAdmin(http.MethodGet, "/admin/fakes/"+name+"/stats", nil, &s)
}

// RunCounts returns the number of runs of each request id on all runners together.
func (c *Cluster) RunCounts() (runner.RunCounts, error) {
	var r runner.RunCounts
	return r, c.callAdmin(http.MethodGet, "/admin/runs", nil, &r)
}

// callAdmin sends a request to the admin interface of the fakes and decodes the response into out unless it is nil.
func (c *Cluster) callAdmin(method, path string, in, out any) error {
	data, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "launcher")
	}
	ctx, cancel := context.WithTimeout(context.Background(), operationTimeout)
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
