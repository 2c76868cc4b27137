package model

import "encoding/json"

// ObjectKind tells the kinds of configuration objects apart.
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
)

// ConfigSet is a whole configuration; each map is keyed by the object's name.
type ConfigSet struct {
	FailureDomains map[DomainID]FailureDomain `json:"failure-domains,omitempty"`
	Workspaces     map[WorkspaceID]Workspace  `json:"workspaces,omitempty"`
	Classes        map[ClassID]Class          `json:"classes,omitempty"`
	Guarantees     map[GuaranteeID]Guarantee  `json:"guarantees,omitempty"`
	Services       map[ServiceID]Service      `json:"services,omitempty"`
	Callers        map[CallerID]Caller        `json:"callers,omitempty"`
	Operators      map[OperatorID]Operator    `json:"operators,omitempty"`
}

// DomainState says whether a failure domain takes part in scheduling.
type DomainState string

// The states of a failure domain.
const (
	DomainActive DomainState = "active"
	// DomainLost is the operator's statement that the domain's workers are stopped; its jobs move elsewhere.
	DomainLost DomainState = "lost"
)

// FailureDomain declares the inventory of a failure domain.
type FailureDomain struct {
	Region RegionID        `json:"region"`
	State  DomainState     `json:"state,omitempty"` // empty means active
	Racks  map[RackID]Rack `json:"racks"`
}

// Rack declares the workers of one rack; all are alike.
type Rack struct {
	Workers      int          `json:"workers"`
	Accelerators Accelerators `json:"accelerators"` // per worker
	Cores        Cores        `json:"cores"`        // per worker
	MemoryMB     Megabytes    `json:"memory-mb"`    // per worker
}

// Workspace declares a tenant.
type Workspace struct {
	Weight         int          `json:"weight,omitempty"`      // share relative to others, 0 means 1
	Quota          Accelerators `json:"quota"`                 // most accelerators in use at once, over all failure domains
	MaxWaitingJobs int          `json:"max-waiting,omitempty"` // most waiting jobs, 0 means the default
}

// Urgency orders classes: urgent before standard before batch.
type Urgency string

// The urgencies, most urgent first.
const (
	UrgencyUrgent   Urgency = "urgent"
	UrgencyStandard Urgency = "standard"
	UrgencyBatch    Urgency = "batch"
)

// Class declares a class of jobs or requests.
type Class struct {
	Urgency        Urgency `json:"urgency"`
	MaxWaitingJobs int     `json:"max-waiting,omitempty"` // most waiting jobs per workspace, 0 means the default
}

// Guarantee declares cells of adjacent accelerators that a workspace can always reclaim.
type Guarantee struct {
	Workspace     WorkspaceID  `json:"workspace"`
	FailureDomain DomainID     `json:"failure-domain"`
	CellSize      Accelerators `json:"cell"`  // accelerators per cell, a power of two
	CellCount     int          `json:"count"` // number of cells
}

// Service declares a service that runners answer for.
type Service struct {
	Workspaces           []WorkspaceID `json:"workspaces"`         // who may call it
	Classes              []ClassID     `json:"classes"`            // classes that a call may name; the first is the default
	SlotsPerRunner       int           `json:"slots"`              // requests that a runner takes at once
	ConnectionsPerRunner int           `json:"connections"`        // connections that a runner takes at once, over all entry hosts
	MaxBody              Bytes         `json:"max-body,omitempty"` // largest request or answer, 0 means the default
}

// Caller declares who may submit work for a workspace.
type Caller struct {
	Workspace   WorkspaceID `json:"workspace"`
	TokenSHA256 string      `json:"token-sha256"` // hex digest of the bearer token
}

// Operator declares who may publish configuration.
type Operator struct {
	TokenSHA256 string `json:"token-sha256"` // hex digest of the bearer token
}

// ConfigChange puts or deletes one named object.
type ConfigChange struct {
	Kind ObjectKind      `json:"kind"`
	Name string          `json:"name"`
	Spec json.RawMessage `json:"spec,omitempty"` // absent means delete
}

// PublishRequest is a request to change the configuration, based on a version that its author read.
type PublishRequest struct {
	Author        OperatorID     `json:"author"`
	BaseVersion   ConfigVersion  `json:"base"`
	SchemaVersion int            `json:"schema"` // number of the validator's rules
	Changes       []ConfigChange `json:"changes"`
}
