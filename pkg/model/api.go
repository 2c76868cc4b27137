package model

// ConfigResponse is the response to a request for the configuration in force on an entry host.
type ConfigResponse struct {
	Version ConfigVersion `json:"version"`
	Author  OperatorID    `json:"author,omitempty"` // operator who published this version; not set at present
	Config  ConfigSet     `json:"set"`
}

// PublishResponse is the response to a successful publish.
type PublishResponse struct {
	Version ConfigVersion `json:"version"` // version that the publish created
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
	NotReadyReason      string            `json:"not-ready,omitempty"` // why the host accepts no requests; empty when Ready is true
	Draining            bool              `json:"draining,omitempty"`
	ConfigVersion       ConfigVersion     `json:"config-version"`
	Role                Role              `json:"role"`
	Fence               FencingToken      `json:"fence,omitempty"`  // fencing token of the current leader term
	Leader              HostID            `json:"leader,omitempty"` // leader of the deployment; empty when there is none
	LogReachable        bool              `json:"log-reachable"`
	EvacuatedDomains    []DomainID        `json:"evacuated,omitempty"` // failure domains in which nothing more is started
	Peers               []PeerStatus      `json:"peers,omitempty"`
	Workers             []WorkerStatus    `json:"workers,omitempty"` // reported by the leader only
	Runners             []RunnerStatus    `json:"runners,omitempty"`
	Workspaces          []WorkspaceStatus `json:"workspaces,omitempty"`
	RunTimes            []RunTimeStatus   `json:"run-times,omitempty"`  // reported by the leader only, for the kinds of tasks with the most runs
	InvariantViolations map[string]int64  `json:"violations,omitempty"` // number of violations per invariant since the host started
}

// PeerStatus describes another entry host, according to the host list of the platform.
type PeerStatus struct {
	Host          HostID   `json:"host"`
	FailureDomain DomainID `json:"failure-domain"`
	Live          bool     `json:"live"` // false while the host list shows the host as leaving
}

// WorkerStatus describes a worker from the view of the leader.
type WorkerStatus struct {
	Worker       HostID       `json:"worker"`
	Rack         RackID       `json:"rack"`
	Health       string       `json:"health"`       // ready, cold (slow for a while), doubtful (suspected), closed (quarantined), draining, unreachable, restarted (not listed since), evacuated or unlisted
	Accelerators Accelerators `json:"accelerators"` // capacity of the worker
	InUse        Accelerators `json:"in-use"`       // accelerators of the runs that are active or stopping
}

// RunTimeStatus describes what the leader has learned of the run times of a kind of tasks in its term.
type RunTimeStatus struct {
	Workspace WorkspaceID `json:"workspace"`
	Queue     QueueID     `json:"queue"`
	Step      int         `json:"step"` // index of the step in its jobs
	Need      Resources   `json:"need"` // resources of each task
	Gang      bool        `json:"gang,omitempty"`
	Runs      int         `json:"runs"` // number of runs that have ended done; a gang counts once
	MeanMS    Millis      `json:"mean-ms"`
	MedianMS  Millis      `json:"p50-ms"`
	P99MS     Millis      `json:"p99-ms"`
}

// JobForecast is what the leader expects of a job. It is no promise.
type JobForecast struct {
	RunMS       Millis `json:"run-ms"`       // run time of the longest chain of dependent steps
	RemainingMS Millis `json:"remaining-ms"` // the part of that which is left, without the time for which tasks wait
	Runs        int    `json:"runs"`         // number of runs from which it was learned, for the step with the fewest; 0 means the caller's estimate
}

// RunnerStatus describes a runner from the view of the reporting entry host.
type RunnerStatus struct {
	Runner   HostID `json:"runner"`
	Leaving  bool   `json:"leaving,omitempty"` // the runner will stop and gets no new requests
	Slots    int    `json:"slots"`             // slots of the runner that this entry host may use
	InFlight int    `json:"in-flight"`         // requests that this entry host has sent and that have not ended
}

// WorkspaceStatus sums up the jobs of a workspace across all failure domains.
type WorkspaceStatus struct {
	Workspace WorkspaceID  `json:"workspace"`
	Queued    int          `json:"queued"`  // number of queued jobs
	Running   int          `json:"running"` // number of running jobs
	InUse     Accelerators `json:"in-use"`  // accelerators that running tasks use
	Quota     Accelerators `json:"quota"`   // maximum of InUse
}

// Explanation is the reason for the state of a job and what its caller can do about it.
type Explanation struct {
	Job           JobID        `json:"job"`
	State         JobState     `json:"state"`
	Leader        HostID       `json:"leader,omitempty"`
	QueuePosition int          `json:"position,omitempty"` // position among the queued jobs of the same or higher priority, from 1; 0 means unknown
	Reason        string       `json:"reason"`
	Remedy        string       `json:"remedy,omitempty"`
	Forecast      *JobForecast `json:"forecast,omitempty"` // reported by the leader only, if it learns run times
}
