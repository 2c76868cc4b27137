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

// Deployment describes the fakes to start; an empty address means a free port of 127.0.0.1.
type Deployment struct {
	AdminAddr  string         `json:"admin,omitempty"` // host:port of the admin listener
	Log        LogConfig      `json:"log"`
	HostList   HostListConfig `json:"hosts"`
	Tasks      TaskConfig     `json:"tasks"`
	Domains    []Domain       `json:"failure-domains"`
	EntryHosts []EntryHost    `json:"entry-hosts,omitempty"`
	// RelayIP is the IP on which a relay to the log is started for each entry host; empty starts none.
	RelayIP string `json:"relays,omitempty"`
}

// LogConfig describes the log; zero limits take the defaults of the log.
type LogConfig struct {
	Addr             string       `json:"addr,omitempty"`
	RetentionMS      model.Millis `json:"retention-ms,omitempty"`
	AppendsPerSecond int          `json:"appends-per-second,omitempty"`
}

// HostListConfig describes the host list.
type HostListConfig struct {
	Addr  string       `json:"addr,omitempty"`
	LagMS model.Millis `json:"lag-ms,omitempty"`
}

// TaskConfig sets the times of tasks on all workers.
type TaskConfig struct {
	DefaultRunMS model.Millis `json:"run-ms,omitempty"` // of a task whose payload gives none
	StopMS       model.Millis `json:"stop-ms,omitempty"`
	GangWaitMS   model.Millis `json:"gang-wait-ms,omitempty"`
	MaxLeaseMS   model.Millis `json:"max-lease-ms,omitempty"`
}

// Domain describes the workers and runners of a failure domain.
type Domain struct {
	ID        model.DomainID `json:"id"`
	Region    model.RegionID `json:"region"`
	IP        string         `json:"ip,omitempty"`         // loopback address of its machines
	FirstPort int            `json:"first-port,omitempty"` // its machines take the ports from here on; 0 means free ports
	Racks     []Rack         `json:"racks,omitempty"`
	Runners   []RunnerGroup  `json:"runners,omitempty"`
}

// Rack describes the workers of one rack; all are alike.
type Rack struct {
	ID model.RackID `json:"id"`
	model.Rack
}

// RunnerGroup describes runners of one service; all are alike.
type RunnerGroup struct {
	Service      model.ServiceID `json:"service"`
	Count        int             `json:"count"`
	Slots        int             `json:"slots,omitempty"`
	DefaultRunMS model.Millis    `json:"run-ms,omitempty"` // of a request whose body gives none
}

// EntryHost describes an entry host for the host list; the fakes do not start it.
type EntryHost struct {
	ID     model.HostID   `json:"id"`
	Addr   string         `json:"addr"`
	Domain model.DomainID `json:"domain"`
}

// Load reads a deployment file, JSON with comments.
func Load(path string) (Deployment, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Deployment{}, errors.Wrap(err, "platform: read the deployment file")
	}
	std, err := hujson.Standardize(raw)
	if err != nil {
		return Deployment{}, errors.Wrapf(err, "platform: %s", path)
	}
	var d Deployment
	dec := json.NewDecoder(bytes.NewReader(std))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		return Deployment{}, errors.Wrapf(err, "platform: %s", path)
	}
	return d, errors.Wrapf(d.check(), "platform: %s", path)
}

func (d Deployment) check() error {
	domains := map[model.DomainID]bool{}
	for _, x := range d.Domains {
		if x.ID == "" || domains[x.ID] {
			return errors.Newf("failure domain %q: ids must be given and unique", x.ID)
		}
		domains[x.ID] = true
		if err := checkLoopback(x.IP); err != nil {
			return errors.Wrapf(err, "failure domain %q: ip", x.ID)
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

// checkLoopback keeps the fakes, which have no access control, off the network.
func checkLoopback(ip string) error {
	if ip == "" || net.ParseIP(ip).IsLoopback() {
		return nil
	}
	return errors.Newf("%q is no loopback address", ip)
}

// ports hands out the listen addresses of a failure domain.
type ports struct {
	ip   string
	next int // 0 means free ports
}

func (p *ports) addr() string {
	ip := p.ip
	if ip == "" {
		ip = "127.0.0.1"
	}
	port := p.next
	if p.next != 0 {
		p.next++
	}
	return net.JoinHostPort(ip, strconv.Itoa(port))
}
