package model

// HostID identifies an entry host, worker or runner of the platform.
type HostID string

// DomainID names a failure domain.
type DomainID string

// RegionID names a region, a set of failure domains with short delays between them.
type RegionID string

// RackID names a rack, unique within its failure domain.
type RackID string

// WorkspaceID names a workspace, the tenant that owns jobs, quotas and guarantees.
type WorkspaceID string

// ClassID names a job class.
type ClassID string

// ServiceID names a service with a set of runners.
type ServiceID string

// CallerID names a caller within a workspace.
type CallerID string

// OperatorID names an operator who may publish configuration.
type OperatorID string

// GuaranteeID names a guaranteed shape.
type GuaranteeID string

// JobID identifies a job; the submitter may choose it to make a submission idempotent.
type JobID string

// RequestID identifies a service request; for non-idempotent requests it is a UUIDv7.
type RequestID string

// Accelerators counts whole accelerators.
type Accelerators int

// Cores counts processor cores.
type Cores int

// Megabytes measures memory in units of 2^20 bytes.
type Megabytes int64

// Bytes measures payloads and traffic in bytes.
type Bytes int64

// ConfigVersion numbers the configurations in force; 0 means none.
type ConfigVersion int64

// Offset is a position in a log stream.
type Offset int64

// Millis is a duration on the wire, in milliseconds.
type Millis int64
