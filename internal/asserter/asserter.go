package asserter

import (
	"fmt"
	"sync"

	"github.com/hashicorp/go-hclog"
)

// Invariant names a property that the program asserts while it runs.
type Invariant string

// The invariants, each asserted by the owner of the state concerned.
const (
	DoubleStart       Invariant = "double-start"         // a task or job attempt runs twice
	WrongAnswer       Invariant = "wrong-answer"         // an answer carries another request's id
	ConfigReverted    Invariant = "config-reverted"      // a lower version than the one in force was offered as accepted
	OverCommitted     Invariant = "over-committed"       // a worker holds more than its capacity
	RepeatedSend      Invariant = "repeated-send"        // a non-idempotent request was about to be sent again
	CutOffAtShutdown  Invariant = "cut-off-at-shutdown"  // a graceful shutdown ended with requests in progress
	SentToLeavingHost Invariant = "sent-to-leaving-host" // a runner got a request although it was known as leaving
)

// Asserter counts violations; its zero value counts without logging.
type Asserter struct {
	Logger hclog.Logger
	// PanicOnViolation panics on a violation; tests set it.
	PanicOnViolation bool

	mu     sync.Mutex
	counts map[Invariant]int64
}

// Assert records a violation of inv unless ok holds; args are key and value pairs with the ids involved.
func (a *Asserter) Assert(ok bool, inv Invariant, args ...any) {
	if ok {
		return
	}
	a.RecordViolation(inv, args...)
}

// RecordViolation records a violation of inv; args are key and value pairs with the ids involved.
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

// ViolationCounts returns the violations so far by invariant.
func (a *Asserter) ViolationCounts() map[string]int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make(map[string]int64, len(a.counts))
	for inv, n := range a.counts {
		out[string(inv)] = n
	}
	return out
}
