package asserter

import (
	"fmt"
	"sync"

	"github.com/hashicorp/go-hclog"
)

// Invariant names the violation of a property that the program checks at run time.
type Invariant string

// Invariants, each checked by the component that owns the state in question.
const (
	DoubleStart       Invariant = "double-start"         // a task or an attempt of a job ran twice at the same time
	WrongAnswer       Invariant = "wrong-answer"         // a response carried the id of another request
	ConfigReverted    Invariant = "config-reverted"      // a configuration older than the current one was about to be applied
	OverCommitted     Invariant = "over-committed"       // the runs on a worker need more than its capacity
	RepeatedSend      Invariant = "repeated-send"        // a non-idempotent request was about to be sent again
	CutOffAtShutdown  Invariant = "cut-off-at-shutdown"  // a graceful shutdown ended with requests in progress
	SentToLeavingHost Invariant = "sent-to-leaving-host" // a request was sent to a runner known to be leaving
)

// Asserter counts and logs violations of invariants. Its zero value counts without logging.
type Asserter struct {
	Logger hclog.Logger
	// PanicOnViolation makes a violation panic; tests set it.
	PanicOnViolation bool

	mu     sync.Mutex
	counts map[Invariant]int64
}

// Assert records a violation of inv unless holds is true. The args are key and value pairs, such as the ids involved.
func (a *Asserter) Assert(holds bool, inv Invariant, args ...any) {
	if holds {
		return
	}
	a.RecordViolation(inv, args...)
}

// RecordViolation counts and logs a violation of inv. The args are key and value pairs, such as the ids involved.
func (a *Asserter) RecordViolation(inv Invariant, args ...any) {
	a.mu.Lock()
	if a.counts == nil {
		a.counts = map[Invariant]int64{}
	}
	a.counts[inv]++
	a.mu.Unlock()

	if a.Logger != nil {
		a.Logger.Error("invariant violated", append([]any{"invariant", string(inv)}, args...)...)
	}
	if a.PanicOnViolation {
		panic(fmt.Sprintf("asserter: invariant %s violated: %v", inv, args))
	}
}

// ViolationCounts returns the number of violations of each violated invariant since the start.
func (a *Asserter) ViolationCounts() map[string]int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make(map[string]int64, len(a.counts))
	for inv, n := range a.counts {
		out[string(inv)] = n
	}
	return out
}
