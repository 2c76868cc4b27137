package planner

import (
	"time"

	"chestnutmux.example/chestnutmux/internal/hostclient"
	"chestnutmux.example/chestnutmux/internal/reducer"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Message is an input of the planner's task.
type Message interface{ message() }

// ConfigChanged carries the configuration in force; the set must not change afterwards.
type ConfigChanged struct {
	Set *model.Set
}

// JobChanged carries an event of the jobs fold.
type JobChanged struct {
	Event reducer.JobEvent
}

// JobsReplaced carries all live jobs after a snapshot replaced the fold.
type JobsReplaced struct {
	Live []reducer.Job
}

// JobsCaughtUp says whether the jobs fold has reached the end of the log, and its next offset.
type JobsCaughtUp struct {
	CaughtUp bool
	Next     model.Offset
}

// HostsListed carries a host list and the time at which the request for it was sent.
type HostsListed struct {
	Hosts  []hostclient.Host
	ReadAt time.Time
}

// Chosen says whether this host is to plan the failure domain.
type Chosen struct {
	Self bool
	// Other is the host that is chosen instead, if one is.
	Other model.HostID
}

// TermSeen carries a term that another host of the failure domain reported.
type TermSeen struct {
	Term model.Term
}

// UsedElsewhere carries the accelerators that workspaces use in other failure domains; it must not change afterwards.
type UsedElsewhere struct {
	Used map[model.WorkspaceID]model.Accelerators
}

// recorded says that an outcome is durable in the log.
type recorded struct {
	gang model.GangID // empty when no gang is to be acknowledged
	job  model.JobID
}

// query asks the task to run a function with its state.
type query struct {
	f    func(*Planner)
	done chan struct{}
}

func (ConfigChanged) message() {}
func (JobChanged) message()    {}
func (JobsReplaced) message()  {}
func (JobsCaughtUp) message()  {}
func (HostsListed) message()   {}
func (Chosen) message()        {}
func (TermSeen) message()      {}
func (UsedElsewhere) message() {}
func (recorded) message()      {}
func (query) message()         {}
