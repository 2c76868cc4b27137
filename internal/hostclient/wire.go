package hostclient

import "chestnutmux.example/chestnutmux/pkg/model"

// Role is the function of a host in the deployment.
type Role string

// Roles of hosts.
const (
	RoleEntry  Role = "entry"
	RoleWorker Role = "worker"
	RoleRunner Role = "runner"
)

// State is the platform's view of a host's state, which lags behind the actual state.
type State string

// States of hosts. A host that has left is no longer listed.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving" // the host will stop soon; for a worker, this is model.WorkerDraining
)

// Host is one entry of the host list.
type Host struct {
	ID       model.HostID    `json:"id"`
	Role     Role            `json:"role"`
	Addr     string          `json:"addr"` // host:port of its HTTP listener
	Domain   model.DomainID  `json:"domain"`
	Region   model.RegionID  `json:"region"`
	Rack     model.RackID    `json:"rack,omitempty"`    // workers only
	Index    int             `json:"index,omitempty"`   // position in the rack, workers only
	Service  model.ServiceID `json:"service,omitempty"` // runners only
	Capacity model.Resources `json:"capacity,omitzero"` // workers only
	State    State           `json:"state"`
}

// HostList is the response body of the host list.
type HostList struct {
	Hosts []Host `json:"hosts"`
}
