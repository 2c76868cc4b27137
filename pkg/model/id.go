package model

// HostID identifies an entry host, a worker or a runner.
type HostID string

// DomainID names a failure domain.
type DomainID string

// RegionID names a region, a set of failure domains with low network latency between them.
type RegionID string

// RackID names a rack; in the configuration it is unique within its failure domain.
type RackID string

// WorkspaceID names a workspace, the tenant that owns jobs, quotas and guarantees.
type WorkspaceID string

// ClassID names a class of jobs or service requests.
type ClassID string

// ServiceID names a service.
type ServiceID string

// CallerID names a caller within a workspace.
type CallerID string

// OperatorID names an operator.
type OperatorID string

// GuaranteeID names a guarantee.
type GuaranteeID string

// JobID identifies a job; a caller may choose it, which makes the submission idempotent.
type JobID string

// RequestID identifies a service request; it is a UUIDv7 for a request that is not idempotent.
type RequestID string

// Accelerators is a number of whole accelerators.
type Accelerators int

// Cores is a number of processor cores.
type Cores int

// Megabytes is an amount of memory in units of 2^20 bytes.
type Megabytes int64

// Bytes is the size of a payload or an amount of traffic in bytes.
type Bytes int64

// ConfigVersion is the version number of a configuration; 0 means that none has been published.
type ConfigVersion int64

// Offset is the position of a record in a log.
type Offset int64

// Millis is a duration in milliseconds, as it is encoded in messages and records.
type Millis int64
