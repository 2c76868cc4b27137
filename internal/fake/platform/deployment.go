package platform

import (
	"bytes"
	"encoding/json"
	"net"
	"os"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Deployment configures the fakes to start; an empty address means a free port of 127.0.0.1.
type Deployment struct {
	AdminAddr  string         `json:"admin,omitempty"` // host:port of the admin interface
	Log        LogConfig      `json:"log"`
	HostList   HostListConfig `json:"hosts"`
	Tasks      TaskConfig     `json:"tasks"`
	Domains    []Domain       `json:"failure-domains"`
	EntryHosts []EntryHost    `json:"entry-hosts,omitempty"`
	// RelayIP is the loopback address at which each entry host gets a relay to the log. If it is empty, no relays are started.
	RelayIP string `json:"relays,omitempty"`
}

// LogConfig configures the log; zero limits take the defaults of the log.
type LogConfig struct {
	Addr             string       `json:"addr,omitempty"`
	RetentionMS      model.Millis `json:"retention-ms,omitempty"`
	AppendsPerSecond int          `json:"appends-per-second,omitempty"`
}

// HostListConfig configures the host list.
type HostListConfig struct {
	Addr  string       `json:"addr,omitempty"`
	LagMS model.Millis `json:"lag-ms,omitempty"` // time until a change becomes visible
}

// TaskConfig sets the times of tasks on all workers; zero fields take the defaults of worker.Options.
type TaskConfig struct {
	DefaultRunMS model.Millis `json:"run-ms,omitempty"`       // run time of a task whose payload has no run-ms
	StopMS       model.Millis `json:"stop-ms,omitempty"`      // time from a stop request to the end of the run
	GangWaitMS   model.Millis `json:"gang-wait-ms,omitempty"` // time that a gang member waits for the others to start
	MaxLeaseMS   model.Millis `json:"max-lease-ms,omitempty"` // a longer lease is cut to this duration
}

// Domain describes a failure domain with its workers and runners.
type Domain struct {
	ID        model.DomainID `json:"id"`
	Region    model.RegionID `json:"region"`
	IP        string         `json:"ip,omitempty"`         // loopback address of the workers and runners
	FirstPort int            `json:"first-port,omitempty"` // first of the consecutive ports of the workers and runners; 0 means free ports
	Racks     []Rack         `json:"racks,omitempty"`
	Runners   []RunnerGroup  `json:"runners,omitempty"`
}

// Rack describes a rack of identical workers.
type Rack struct {
	ID model.RackID `json:"id"`
	model.Rack
}

// RunnerGroup describes a group of identical runners of one service.
type RunnerGroup struct {
	Service      model.ServiceID `json:"service"`
	Count        int             `json:"count"`
	Slots        int             `json:"slots,omitempty"`
	DefaultRunMS model.Millis    `json:"run-ms,omitempty"` // run time of a request whose body has no run-ms
}

// EntryHost describes an entry host in the host list; the platform does not start the host.
type EntryHost struct {
	ID     model.HostID   `json:"id"`
	Addr   string         `json:"addr"`
	Domain model.DomainID `json:"domain"`
}

// Load reads and validates a deployment file, which is JSON with comments (HuJSON).
func Load(path string) (Deployment, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Deployment{}, errors.Wrap(err, "platform: read the deployment file")
	}
	standardJSON, err := hujson.Standardize(raw)
	if err != nil {
		return Deployment{}, errors.Wrapf(err, "platform: %s", path)
	}
	var d Deployment
	dec := json.NewDecoder(bytes.NewReader(standardJSON))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		return Deployment{}, errors.Wrapf(err, "platform: %s", path)
	}
	return d, errors.Wrapf(d.validate(), "platform: %s", path)
}

func (d Deployment) validate() error {
	domains := map[model.DomainID]bool{}
	for _, domain := range d.Domains {
		if domain.ID == "" || domains[domain.ID] {
			return errors.Newf("failure domain %q: ids must be given and unique", domain.ID)
		}
		domains[domain.ID] = true
		if err := checkLoopback(domain.IP); err != nil {
			return errors.Wrapf(err, "failure domain %q: ip", domain.ID)
		}
	}
	for _, e := range d.EntryHosts {
		if e.ID == "" || !domains[e.Domain] {
			return errors.Newf("entry host %q: id and a listed failure domain are required", e.ID)
		}
	}
	if err := checkLoopback(d.RelayIP); err != nil {
		return errors.Wrap(err, "relays")
	}
	for _, addr := range []string{d.AdminAddr, d.Log.Addr, d.HostList.Addr} {
		if addr == "" {
			continue
		}
		host, _, err := net.SplitHostPort(addr)
		if err != nil {
			return errors.Wrapf(err, "address %q", addr)
		}
		if err := checkLoopback(host); err != nil {
			return err
		}
	}
	return nil
}

// checkLoopback returns an error unless the address is empty or a loopback address, because the fakes have no access control and
// must not be reachable over the network.
func checkLoopback(ip string) error {
	if ip == "" || net.ParseIP(ip).IsLoopback() {
		return nil
	}
	return errors.Newf("%q is not a loopback address", ip)
}

// addrAllocator allocates the listen addresses of a failure domain.
type addrAllocator struct {
	ip       string // empty means 127.0.0.1
	nextPort int    // 0 means free ports
}

func (a *addrAllocator) nextAddr() string {
	ip := a.ip
	if ip == "" {
		ip = "127.0.0.1"
	}
	port := a.nextPort
	if a.nextPort != 0 {
		a.nextPort++
	}
	return net.JoinHostPort(ip, strconv.Itoa(port))
}
