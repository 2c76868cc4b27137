package asserter

import (
	"fmt"
	"sync"

	"github.com/hashicorp/go-hclog"
)

// Invariant identifies an invariant that the program checks at run time. Its value names the violation.
type Invariant string

// Violations of invariants, each detected by the component that owns the state in question.
const (
	DoubleStart       Invariant = "double-start"         // two runs of a task were active at the same time
	WrongResponse     Invariant = "wrong-answer"         // a response carried the id of another request
	ConfigReverted    Invariant = "config-reverted"      // a configuration older than the current one was about to be applied
	OverCommitted     Invariant = "over-committed"       // the runs on a worker needed more than its capacity
	RepeatedSend      Invariant = "repeated-send"        // a non-idempotent request was about to be sent again
	CutOffAtShutdown  Invariant = "cut-off-at-shutdown"  // a graceful shutdown ended while requests were in progress
	SentToLeavingHost Invariant = "sent-to-leaving-host" // a request was sent to a runner that had been known to be leaving for some time
)

// Asserter counts and logs violations of invariants. Its zero value counts without logging.
type Asserter struct {
	Logger hclog.Logger
	// PanicOnViolation makes each violation panic; only tests set it.
	PanicOnViolation bool

	mu     sync.Mutex
	counts map[Invariant]int64
}

// Assert records a violation of inv unless holds is true. The args are pairs of keys and values for the log line, such as the ids
// involved.
func (a *Asserter) Assert(holds bool, inv Invariant, args ...any) {
	if holds {
		return
	}
	a.RecordViolation(inv, args...)
}

// RecordViolation counts and logs a violation of inv. The args are pairs of keys and values for the log line, such as the ids
// involved.
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

// ViolationCounts returns the number of violations since the process started, by invariant. It omits invariants without a violation.
func (a *Asserter) ViolationCounts() map[string]int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make(map[string]int64, len(a.counts))
	for inv, n := range a.counts {
		out[string(inv)] = n
	}
	return out
}
