package model

import "time"

// ConfigReply is the configuration in force on an entry host.
type ConfigReply struct {
	Version Version    `json:"version"`
	Author  OperatorID `json:"author,omitempty"` // who published this version
	Set     Set        `json:"set"`
}

// PublishReply tells that a publish is in force.
type PublishReply struct {
	Version Version `json:"version"`
}

// JobsReply lists jobs of a workspace.
type JobsReply struct {
	Jobs []Job `json:"jobs"`
}

// Role is what an entry host does for its failure domain.
type Role string

// The roles of an entry host.
const (
	RoleStandby    Role = "standby"
	RoleTakingOver Role = "taking-over"
	RolePlanner    Role = "planner"
)

// Status describes one entry host and what it knows.
type Status struct {
	Host          HostID            `json:"host"`
	FailureDomain DomainID          `json:"failure-domain"`
	Region        RegionID          `json:"region"`
	Ready         bool              `json:"ready"`
	NotReady      string            `json:"not-ready,omitempty"` // what it waits for
	Draining      bool              `json:"draining,omitempty"`
	ConfigVersion Version           `json:"config-version"`
	Role          Role              `json:"role"`
	Term          Term              `json:"term,omitzero"`
	Planner       HostID            `json:"planner,omitempty"` // of its failure domain
	LogDownSince  time.Time         `json:"log-down-since,omitzero"`
	Peers         []PeerStatus      `json:"peers,omitempty"`
	Workers       []WorkerStatus    `json:"workers,omitempty"` // of its failure domain, planner only
	Runners       []RunnerStatus    `json:"runners,omitempty"`
	Workspaces    []WorkspaceStatus `json:"workspaces,omitempty"`
	Fragmentation float64           `json:"fragmentation"` // share of free accelerators that waiting shapes cannot use
	Violations    map[string]int64  `json:"violations,omitempty"`
}

// PeerStatus describes another entry host.
type PeerStatus struct {
	Host          HostID   `json:"host"`
	FailureDomain DomainID `json:"failure-domain"`
	Live          bool     `json:"live"`
	ConfigVersion Version  `json:"config-version"`
}

// WorkerStatus describes a worker as its planner sees it.
type WorkerStatus struct {
	Worker       HostID       `json:"worker"`
	Rack         RackID       `json:"rack"`
	Health       string       `json:"health"`
	Accelerators Accelerators `json:"accelerators"`
	InUse        Accelerators `json:"in-use"`
}

// RunnerStatus describes a runner as this entry host sees it.
type RunnerStatus struct {
	Runner   HostID `json:"runner"`
	Leaving  bool   `json:"leaving,omitempty"`
	Slots    int    `json:"slots"` // share of this entry host
	InFlight int    `json:"in-flight"`
}

// WorkspaceStatus sums up the jobs of a workspace over all failure domains.
type WorkspaceStatus struct {
	Workspace WorkspaceID  `json:"workspace"`
	Queued    int          `json:"queued"`
	Running   int          `json:"running"`
	InUse     Accelerators `json:"in-use"`
	Quota     Accelerators `json:"quota"`
}

// Explanation tells why a job waits and what would let it start.
type Explanation struct {
	Job      JobID    `json:"job"`
	State    JobState `json:"state"`
	Home     DomainID `json:"home"`
	Planner  HostID   `json:"planner,omitempty"`
	Position int      `json:"position,omitempty"` // in the order of the planner, 1 is next
	Reason   string   `json:"reason"`
	Remedy   string   `json:"remedy,omitempty"`
}
