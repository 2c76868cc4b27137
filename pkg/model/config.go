package model

import "encoding/json"

// ObjectKind is the kind of a configuration object.
type ObjectKind string

// The kinds of configuration objects.
const (
	ObjectKindFailureDomain ObjectKind = "failure-domain"
	ObjectKindWorkspace     ObjectKind = "workspace"
	ObjectKindClass         ObjectKind = "class"
	ObjectKindGuarantee     ObjectKind = "guarantee"
	ObjectKindService       ObjectKind = "service"
	ObjectKindCaller        ObjectKind = "caller"
	ObjectKindOperator      ObjectKind = "operator"
	ObjectKindEvacuation    ObjectKind = "evacuation"
)

// ConfigSet is a complete configuration; each map is keyed by the name of the object.
type ConfigSet struct {
	FailureDomains map[DomainID]FailureDomain `json:"failure-domains,omitempty"`
	Workspaces     map[WorkspaceID]Workspace  `json:"workspaces,omitempty"`
	Classes        map[ClassID]Class          `json:"classes,omitempty"`
	Guarantees     map[GuaranteeID]Guarantee  `json:"guarantees,omitempty"`
	Services       map[ServiceID]Service      `json:"services,omitempty"`
	Callers        map[CallerID]Caller        `json:"callers,omitempty"`
	Operators      map[OperatorID]Operator    `json:"operators,omitempty"`
	Evacuations    map[DomainID]Evacuation    `json:"evacuations,omitempty"`
}

// DomainState says whether the operator considers a failure domain available.
type DomainState string

// The states of a failure domain.
const (
	DomainActive DomainState = "active"
	// DomainLost excludes the racks of the domain from the check whether a submitted job could ever run. It does not stop or
	// move running jobs.
	DomainLost DomainState = "lost"
)

// FailureDomain declares the racks of a failure domain.
type FailureDomain struct {
	Region RegionID        `json:"region"`
	State  DomainState     `json:"state,omitempty"` // empty means DomainActive
	Racks  map[RackID]Rack `json:"racks"`
}

// Rack declares the workers of a rack; all workers of a rack have the same resources.
type Rack struct {
	Workers      int          `json:"workers"`      // number of workers
	Accelerators Accelerators `json:"accelerators"` // per worker
	Cores        Cores        `json:"cores"`        // per worker
	MemoryMB     Megabytes    `json:"memory-mb"`    // per worker
}

// Workspace declares a tenant and its limits.
type Workspace struct {
	Weight        int          `json:"weight,omitempty"`      // share of service requests relative to other workspaces; 0 means 1; no effect on jobs
	Quota         Accelerators `json:"quota"`                 // maximum number of accelerators in use, summed over all failure domains
	MaxQueuedJobs int          `json:"max-waiting,omitempty"` // maximum number of queued jobs of all classes together; 0 means 10,000
}

// Urgency determines the scheduling priority of a class.
type Urgency string

// The urgencies, from the highest to the lowest.
const (
	UrgencyUrgent   Urgency = "urgent"
	UrgencyStandard Urgency = "standard"
	UrgencyBatch    Urgency = "batch"
)

// Class declares a class of jobs or service requests.
type Class struct {
	Urgency       Urgency `json:"urgency"`
	MaxQueuedJobs int     `json:"max-waiting,omitempty"` // maximum number of queued jobs per workspace; 0 means 10,000
}

// Guarantee gives a workspace precedence for a number of accelerators, which is declared as cells, aligned blocks of adjacent
// accelerators. Jobs of urgent classes that fit into the total of the workspace's cells, summed over all failure domains, are
// scheduled before all other jobs. The position of cells matters only to the validator, which checks that they fit the racks.
type Guarantee struct {
	Workspace     WorkspaceID  `json:"workspace"`
	FailureDomain DomainID     `json:"failure-domain"`
	CellSize      Accelerators `json:"cell"` // accelerators per cell; a power of two
	CellCount     int          `json:"count"`
}

// Service declares a service whose requests are processed by runners.
type Service struct {
	Workspaces           []WorkspaceID `json:"workspaces"`         // workspaces that may call the service
	Classes              []ClassID     `json:"classes"`            // classes that a request may use; the first is the default
	SlotsPerRunner       int           `json:"slots"`              // maximum number of concurrent requests of a runner
	ConnectionsPerRunner int           `json:"connections"`        // maximum number of connections of a runner, summed over all entry hosts
	MaxBodyBytes         Bytes         `json:"max-body,omitempty"` // maximum size of a body; 0 means 1 MiB for requests and 8 MiB for responses
}

// Caller declares a client that may submit jobs and service requests for a workspace.
type Caller struct {
	Workspace   WorkspaceID `json:"workspace"`
	TokenSHA256 string      `json:"token-sha256"` // hex digest of the bearer token
}

// Operator declares an operator, who may publish configuration.
type Operator struct {
	TokenSHA256 string `json:"token-sha256"` // hex digest of the bearer token
}

// Evacuation requests that nothing more be started on the workers of the failure domain that it is named after, until it is deleted. The
// failure domain need not be declared.
type Evacuation struct{}

// ConfigChange creates, replaces or deletes one configuration object.
type ConfigChange struct {
	Kind ObjectKind      `json:"kind"`
	Name string          `json:"name"`
	Spec json.RawMessage `json:"spec,omitempty"` // new value of the object as JSON; absent to delete the object
}

// PublishRequest asks to change the configuration.
type PublishRequest struct {
	Author        OperatorID     `json:"author"` // set by the server from the token
	BaseVersion   ConfigVersion  `json:"base"`   // version that the changes are based on; later changes to the same objects conflict
	SchemaVersion int            `json:"schema"` // version of the validation rules, see validator.SchemaVersion
	Changes       []ConfigChange `json:"changes"`
}
