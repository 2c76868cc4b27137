package claimer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/asserter"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Default bounds of a Claimer.
const (
	DefaultWindow    = 15 * time.Minute // design 3.11, claim-window
	DefaultClockSkew = time.Minute      // design 3.11, claims are kept for the window plus this
	// DefaultMaxResults covers the largest normal rate, 20 non-idempotent requests a second
	// per host for one window.
	DefaultMaxResults = 20_000
	// DefaultMaxBytes keeps the answers within a quarter of the 64 MB that a daemon may use.
	DefaultMaxBytes = 16 << 20
)

// ErrNotSent is matched by an append error when the claim certainly never reached the log service.
var ErrNotSent = errors.New("claimer: claim was not sent to the log")

// Claim reserves a request for one entry host.
type Claim struct {
	Workspace model.WorkspaceID
	Request   model.RequestID
	Host      model.HostID
}

// Ref names one appended claim: the id of its record and its place in the record. It never repeats, so that
// a host that restarted does not take an earlier claim of its own host id for the present one.
type Ref struct {
	Record string
	Index  int
}

// Receipt is the result of an append.
type Receipt struct {
	Offset model.Offset // of the record that holds the claim
	Ref    Ref
}

// Won is the first claim of a request in offset order.
type Won struct {
	Host model.HostID
	Ref  Ref
}

// Appender appends claims to the log.
type Appender interface {
	// Append returns where the claim was stored. An error that matches ErrNotSent, or a *model.Error with
	// outcome not-run, says that no append was sent; any other error leaves the result open.
	Append(ctx context.Context, c Claim) (Receipt, error)
}

// ClaimIndex is the state computed from the claims stream.
type ClaimIndex interface {
	// WaitApplied returns nil once all records up to and including the offset are applied.
	WaitApplied(ctx context.Context, offset model.Offset) error
	// Winner returns the first claim of the request.
	Winner(ws model.WorkspaceID, id model.RequestID) (Won, bool)
	// ViewStart returns the log time since when all claims are known; zero means that none is missing.
	ViewStart() time.Time
}

// ResultFetcher asks another entry host for the result of a request that it claimed.
type ResultFetcher interface {
	// FetchResult waits for the result while the request is in progress there; an error means unknown.
	FetchResult(ctx context.Context, host model.HostID, ws model.WorkspaceID, id model.RequestID) (Result, error)
}

// Verdict is the end of a claim.
type Verdict string

// The verdicts.
const (
	VerdictWon     Verdict = "won"
	VerdictLost    Verdict = "lost"
	VerdictRefused Verdict = "refused" // this host sends nothing for the claim
)

// Decision says whether the host may send the request.
type Decision struct {
	Verdict Verdict
	Host    model.HostID // the winner, unless refused
	Err     *model.Error // the answer to the caller, when refused
	Spent   bool         // refused after an append was sent, so the id can't be used again

	ref Ref // of the claim, when the append was confirmed
}

// Request identifies a non-idempotent request.
type Request struct {
	Workspace model.WorkspaceID
	ID        model.RequestID
	// Digest is the same for repeats of the same request only; it covers caller, service, class and body.
	Digest string
	// Repeat says that the caller may have sent the request before, to any entry host. A refusal is then unknown
	// instead of not-run, because this host can't rule out that the earlier call was run elsewhere.
	Repeat bool
}

// Result is the outcome of a request as kept for repeats and sent to other entry hosts.
type Result struct {
	Digest      string       `json:"digest"`
	Body        []byte       `json:"body,omitempty"`
	ContentType string       `json:"content-type,omitempty"`
	Runner      model.HostID `json:"runner,omitempty"`
	Error       *model.Error `json:"error,omitempty"` // nil when answered
}

// RunFunc sends a claimed request once; Result.Error is set unless it was answered.
type RunFunc func(ctx context.Context) Result

// Options are the parts and bounds of a Claimer; zero bounds mean the defaults.
type Options struct {
	Host       model.HostID
	Appender   Appender
	Index      ClaimIndex
	Results    ResultFetcher
	Window     time.Duration
	Skew       time.Duration
	MaxResults int
	MaxBytes   model.Bytes
	Now        func() time.Time // nil means time.Now
	// OnViolation is called for a request that was about to be sent again; nil means that it is not told.
	OnViolation func(inv asserter.Invariant, args ...any)
}
