package journaler

import (
	"cmp"
	"maps"
	"slices"

	"chestnutmux.example/chestnutmux/pkg/model"
)

func (rep *Replica) applyHost(id model.HostID, r Record) error {
	var h HostAddress
	if err := decode(r.Value, &h); err != nil {
		return err
	}
	rep.setHostAddress(id, h)
	return nil
}

// setHostAddress stores the address of a host. The caller holds rep.mu.
func (rep *Replica) setHostAddress(id model.HostID, h HostAddress) {
	if rep.hosts == nil {
		rep.hosts = map[model.HostID]HostAddress{}
	}
	if rep.hosts[id] != h {
		rep.hosts[id] = h
		rep.hostList = nil
	}
}

// AddHostAddresses adds addresses that were read before the replica has loaded a snapshot. It keeps addresses that are known.
func (rep *Replica) AddHostAddresses(addresses []HostAddress) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	for _, h := range addresses {
		if _, known := rep.hosts[h.Host]; !known {
			rep.setHostAddress(h.Host, h)
		}
	}
}

// HostAddresses returns the addresses at which the entry hosts serve their peers, ordered by host. The caller must not change the
// slice; a host asks for it before each read.
func (rep *Replica) HostAddresses() []HostAddress {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	if rep.hostList == nil {
		rep.hostList = slices.SortedFunc(maps.Values(rep.hosts), func(a, b HostAddress) int { return cmp.Compare(a.Host, b.Host) })
	}
	return rep.hostList
}
