package model

// ConfigResponse is the response to a request for the configuration in force on an entry host.
type ConfigResponse struct {
	Version ConfigVersion `json:"version"`
	Author  OperatorID    `json:"author,omitempty"` // who published this version
	Config  ConfigSet     `json:"set"`
}

// PublishResponse is the response to a successful publish; it holds the new version.
type PublishResponse struct {
	Version ConfigVersion `json:"version"`
}

// JobsResponse lists the jobs of a workspace.
type JobsResponse struct {
	Jobs []Job `json:"jobs"`
}

// Role is the role of an entry host in its deployment.
type Role string

// The roles of an entry host.
const (
	RoleFollower Role = "follower"
	RoleLeader   Role = "leader" // schedules jobs and directs all workers
)

// HostStatus describes an entry host and its view of the deployment.
type HostStatus struct {
	Host                HostID            `json:"host"`
	FailureDomain       DomainID          `json:"failure-domain"`
	Region              RegionID          `json:"region"`
	Ready               bool              `json:"ready"`
	NotReadyReason      string            `json:"not-ready,omitempty"` // empty when Ready is true
	Draining            bool              `json:"draining,omitempty"`
	ConfigVersion       ConfigVersion     `json:"config-version"`
	Role                Role              `json:"role"`
	Fence               FencingToken      `json:"fence,omitempty"`  // fencing token of the current leader term
	Leader              HostID            `json:"leader,omitempty"` // leader of the deployment; empty when there is none
	LogReachable        bool              `json:"log-reachable"`
	Peers               []PeerStatus      `json:"peers,omitempty"`
	Workers             []WorkerStatus    `json:"workers,omitempty"` // reported by the leader only
	Runners             []RunnerStatus    `json:"runners,omitempty"`
	Workspaces          []WorkspaceStatus `json:"workspaces,omitempty"`
	InvariantViolations map[string]int64  `json:"violations,omitempty"` // number of violations by invariant, since the host started
}

// PeerStatus describes another entry host, according to the host list of the platform.
type PeerStatus struct {
	Host          HostID   `json:"host"`
	FailureDomain DomainID `json:"failure-domain"`
	Live          bool     `json:"live"`
}

// WorkerStatus describes a worker from the view of the leader.
type WorkerStatus struct {
	Worker       HostID       `json:"worker"`
	Rack         RackID       `json:"rack"`
	Health       string       `json:"health"`
	Accelerators Accelerators `json:"accelerators"`
	InUse        Accelerators `json:"in-use"`
}

// RunnerStatus describes a runner from the view of the reporting entry host.
type RunnerStatus struct {
	Runner   HostID `json:"runner"`
	Leaving  bool   `json:"leaving,omitempty"`
	Slots    int    `json:"slots"`     // slots of the runner that this entry host may use
	InFlight int    `json:"in-flight"` // requests that this entry host has sent and that have not ended
}

// WorkspaceStatus sums up the jobs of a workspace across all failure domains.
type WorkspaceStatus struct {
	Workspace WorkspaceID  `json:"workspace"`
	Queued    int          `json:"queued"`
	Running   int          `json:"running"`
	InUse     Accelerators `json:"in-use"`
	Quota     Accelerators `json:"quota"`
}

// Explanation says why a job waits and what the caller can do so that it starts.
type Explanation struct {
	Job           JobID    `json:"job"`
	State         JobState `json:"state"`
	Leader        HostID   `json:"leader,omitempty"`
	QueuePosition int      `json:"position,omitempty"` // position among the waiting jobs of the same or higher priority, from 1
	Reason        string   `json:"reason"`
	Remedy        string   `json:"remedy,omitempty"`
}
