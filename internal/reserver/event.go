package reserver

import (
	"encoding/json"
	"time"

	"chestnutmux.example/chestnutmux/internal/hostclient"
	"chestnutmux.example/chestnutmux/internal/workerclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Event is an input of the state machine.
type Event interface{ event() }

// Hosts carries a host list and the time at which the request for it was sent.
type Hosts struct {
	Hosts  []hostclient.Host
	ReadAt time.Time
}

// Position is a place for a worker in the declared inventory.
type Position struct {
	Rack  model.RackID
	Index int
}

// Inventory replaces the declared positions of the failure domain.
type Inventory struct {
	Positions []Position
	Racks     map[model.RackID]Resources // what each worker of a rack has; nothing is asserted for other racks
}

// Resources are an amount of what tasks occupy on a worker.
type Resources struct {
	Accelerators model.Accelerators
	Cores        model.Cores
	MemoryMB     model.Megabytes
}

// TermSeen carries a term learned from elsewhere, such as a heartbeat.
type TermSeen struct{ Term model.Term }

// TakeOver makes this host try to become the planner of its failure domain.
type TakeOver struct{}

// StepDown makes this host give up the planner's role.
type StepDown struct{ Reason string }

// StartGang asks for one attempt of a job to run on the given workers, one member each.
// The attempt must be higher than any started attempt of the job; an attempt that was
// refused may be used again with other workers.
type StartGang struct {
	Gang         model.GangID
	Job          model.JobID
	Workspace    model.WorkspaceID
	AcceptedAt   time.Time // when the job was accepted, from its log record
	Workers      []model.HostID
	Accelerators model.Accelerators // per member
	Cores        model.Cores        // per member
	MemoryMB     model.Megabytes    // per member
	Spec         json.RawMessage
}

// StopGang asks for a gang to be stopped everywhere.
type StopGang struct {
	Gang   model.GangID
	Reason string
}

// PreemptGang asks for a gang to be checkpointed within the bound, and otherwise stopped.
type PreemptGang struct{ Gang model.GangID }

// Acknowledge says that the outcome of an ended gang is durable; its workers may forget it.
type Acknowledge struct{ Gang model.GangID }

// Replied carries a worker's answer to the batch with the given sequence number.
type Replied struct {
	Worker model.HostID
	Seq    uint64
	Reply  workerclient.Reply
}

// SendFailed says that the batch got no usable answer; NotRun when it certainly was not applied.
type SendFailed struct {
	Worker model.HostID
	Seq    uint64
	NotRun bool
}

// Tick lets time pass.
type Tick struct{}

func (Hosts) event()       {}
func (Inventory) event()   {}
func (TermSeen) event()    {}
func (TakeOver) event()    {}
func (StepDown) event()    {}
func (StartGang) event()   {}
func (StopGang) event()    {}
func (PreemptGang) event() {}
func (Acknowledge) event() {}
func (Replied) event()     {}
func (SendFailed) event()  {}
func (Tick) event()        {}

// Send is a batch to be sent to a worker.
type Send struct {
	Worker   model.HostID
	Addr     string
	Seq      uint64
	Batch    workerclient.Batch
	Deadline time.Time // after this time it must neither be sent nor waited for
}
