package platform

import (
	"net"
	"net/http"
	"strings"

	"chestnutmux.example/chestnutmux/internal/fake/fault"
	"chestnutmux.example/chestnutmux/internal/fake/relay"
	"chestnutmux.example/chestnutmux/internal/hostclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// PutEntryHost adds an entry host to the host list or replaces its entry. If the deployment has relays, the entry host
// gets its own relay to the log.
func (p *Platform) PutEntryHost(e EntryHost) error {
	h := hostclient.Host{ID: e.ID, Role: hostclient.RoleEntry, Addr: e.Addr, Domain: e.Domain, State: hostclient.StateLive}
	for _, d := range p.deployment.Domains {
		if d.ID == e.Domain {
			h.Region = d.Region
		}
	}
	p.mu.Lock()
	known := p.relays[e.ID] != nil
	p.mu.Unlock()
	if p.deployment.RelayIP != "" && !known {
		if err := p.startRelay(e.ID); err != nil {
			return err
		}
	}
	p.HostList.Put(h)
	return nil
}

// startRelay starts the relay between an entry host and the log.
func (p *Platform) startRelay(id model.HostID) error {
	r, err := relay.Start(net.JoinHostPort(p.deployment.RelayIP, "0"), func() string {
		return strings.TrimPrefix(p.LogURL(), "http://")
	})
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.relays[id] = r
	p.mu.Unlock()
	return p.register(RelayName(id), &fake{
		kind: "relay", addr: r.Addr, faults: &r.Injector,
		handler: r.Wrap(http.NotFoundHandler(), r.ConnectionStats),
		restart: r.Restart, kill: r.Close,
	})
}

// Partition separates entry hosts from the log; hosts without a relay are not affected.
//
// A silent partition holds back all data until HealPartitions; one that is not silent closes open and new connections.
func (p *Platform) Partition(hosts []model.HostID, silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range hosts {
		if r := p.relays[id]; r != nil {
			r.SetFaults(fault.Faults{Down: !silent, Frozen: silent})
		}
	}
}

// HealPartitions ends all partitions by clearing the faults of all relays.
func (p *Platform) HealPartitions() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.relays {
		r.SetFaults(fault.Faults{})
	}
}

// RelayName returns the name of the relay between an entry host and the log.
func RelayName(id model.HostID) string { return "relay~" + string(id) }
