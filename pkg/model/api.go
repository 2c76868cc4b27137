package model

// ConfigResponse is the configuration in force on an entry host.
type ConfigResponse struct {
	Version ConfigVersion `json:"version"`
	Author  OperatorID    `json:"author,omitempty"` // who published this version
	Config  ConfigSet     `json:"set"`
}

// PublishResponse tells that a publish is in force.
type PublishResponse struct {
	Version ConfigVersion `json:"version"`
}

// JobsResponse lists jobs of a workspace.
type JobsResponse struct {
	Jobs []Job `json:"jobs"`
}

// Role is what an entry host does.
type Role string

// The roles of an entry host.
const (
	RoleFollower Role = "follower"
	RoleLeader   Role = "leader" // it plans and directs all workers
)

// HostStatus describes one entry host and what it knows.
type HostStatus struct {
	Host                HostID            `json:"host"`
	FailureDomain       DomainID          `json:"failure-domain"`
	Region              RegionID          `json:"region"`
	Ready               bool              `json:"ready"`
	NotReadyReason      string            `json:"not-ready,omitempty"` // what it waits for
	Draining            bool              `json:"draining,omitempty"`
	ConfigVersion       ConfigVersion     `json:"config-version"`
	Role                Role              `json:"role"`
	Fence               FencingToken      `json:"fence,omitempty"`  // of the term in force
	Leader              HostID            `json:"leader,omitempty"` // of the deployment
	LogReachable        bool              `json:"log-reachable"`
	Peers               []PeerStatus      `json:"peers,omitempty"`
	Workers             []WorkerStatus    `json:"workers,omitempty"` // leader only
	Runners             []RunnerStatus    `json:"runners,omitempty"`
	Workspaces          []WorkspaceStatus `json:"workspaces,omitempty"`
	InvariantViolations map[string]int64  `json:"violations,omitempty"`
}

// PeerStatus describes another entry host as the platform lists it.
type PeerStatus struct {
	Host          HostID   `json:"host"`
	FailureDomain DomainID `json:"failure-domain"`
	Live          bool     `json:"live"`
}

// WorkerStatus describes a worker as the leader sees it.
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
	Job           JobID    `json:"job"`
	State         JobState `json:"state"`
	Leader        HostID   `json:"leader,omitempty"`
	QueuePosition int      `json:"position,omitempty"` // among waiting jobs of its priority and above, 1 is next
	Reason        string   `json:"reason"`
	Remedy        string   `json:"remedy,omitempty"`
}
