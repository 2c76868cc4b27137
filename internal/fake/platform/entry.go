package platform

import (
	"net"
	"net/http"
	"slices"

	"chestnutmux.example/chestnutmux/internal/fake/fault"
	"chestnutmux.example/chestnutmux/internal/fake/relay"
	"chestnutmux.example/chestnutmux/internal/hostclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// PutEntryHost lists an entry host or changes its addresses. With relays, the other entry
// hosts are shown the address of a relay of their own as its peer address.
func (p *Platform) PutEntryHost(e EntryHost) error {
	h := hostclient.Host{
		ID: e.ID, Role: hostclient.RoleEntry, Addr: e.Addr, PeerAddr: e.PeerAddr,
		Domain: e.Domain, State: hostclient.StateLive,
	}
	for _, d := range p.deployment.Domains {
		if d.ID == e.Domain {
			h.Region = d.Region
		}
	}
	p.mu.Lock()
	known := slices.Contains(p.entries, e.ID)
	others := slices.Clone(p.entries)
	if !known {
		p.entries = append(p.entries, e.ID)
	}
	p.mu.Unlock()
	if p.deployment.Relays != "" && !known {
		for _, other := range others {
			if err := p.startRelay(pair{from: other, to: e.ID}); err != nil {
				return err
			}
			if err := p.startRelay(pair{from: e.ID, to: other}); err != nil {
				return err
			}
		}
	}
	p.Hosts.Put(h)
	return nil
}

func (p *Platform) startRelay(x pair) error {
	r, err := relay.Start(net.JoinHostPort(p.deployment.Relays, "0"), func() string {
		h, _ := p.Hosts.Host(x.to)
		return h.PeerAddr
	})
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.relays[x] = r
	p.mu.Unlock()
	p.Hosts.SetRoute(x.from, x.to, r.Addr())
	return p.add(relayName(x), &fake{
		kind: "relay", addr: r.Addr, faults: &r.Switch,
		handler: r.Wrap(http.NotFoundHandler(), r.RelayStats),
		restart: r.Restart, kill: r.Close,
	})
}

// Partition cuts the relays between the entry hosts of a and those of b, in both directions.
// A silent partition holds the data back until it is healed; otherwise connections are closed.
func (p *Platform) Partition(a, b []model.HostID, silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for x, r := range p.relays {
		if slices.Contains(a, x.from) && slices.Contains(b, x.to) || slices.Contains(b, x.from) && slices.Contains(a, x.to) {
			r.Set(fault.Faults{Down: !silent, Frozen: silent})
		}
	}
}

// Heal clears the faults of all relays.
func (p *Platform) Heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.relays {
		r.Set(fault.Faults{})
	}
}

func relayName(x pair) string { return "relay~" + string(x.from) + "~" + string(x.to) }
