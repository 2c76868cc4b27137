package claimer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/asserter"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Default limits of a Claimer.
const (
	DefaultClaimWindow = 15 * time.Minute // maximum age of the id of a non-idempotent request; older ones are refused
	DefaultClockSkew   = time.Minute      // tolerated difference between clocks
	// DefaultMaxResults covers one claim window at the largest normal rate, 20 non-idempotent requests per second and host.
	DefaultMaxResults = 20_000
	// DefaultMaxBytes limits the results to a quarter of the 64 MB that an entry host may use.
	DefaultMaxBytes = 16 << 20
)

// ErrNotSent marks errors of Append after which the claim is certainly not in the log.
var ErrNotSent = errors.New("claimer: claim was not sent to the log")

// Claim is a record by which an entry host asks for the right to run a request. The first claim in the log wins.
type Claim struct {
	Workspace model.WorkspaceID
	Request   model.RequestID
	Host      model.HostID
}

// ClaimID identifies an appended claim by the random id of its record. It is never reused, so that a restarted host does not
// mistake a claim of its earlier process for one of its own.
type ClaimID struct {
	Record string
	Index  int // not used, always 0, because a record holds a single claim
}

// Receipt confirms that a claim was appended.
type Receipt struct {
	Offset  model.Offset // offset of the claim's record
	ClaimID ClaimID
}

// WinningClaim is the claim of a request with the lowest offset. Its host may run the request.
type WinningClaim struct {
	Host    model.HostID
	ClaimID ClaimID
}

// Appender appends claims to the log.
type Appender interface {
	// Append appends a claim and returns its offset and id. If an error matches ErrNotSent or is a *model.Error with the
	// outcome not-run, the claim was certainly not appended; after any other error it may have been.
	Append(ctx context.Context, c Claim) (Receipt, error)
}

// ClaimIndex is the index of the claims read from the log.
type ClaimIndex interface {
	// WaitApplied waits until all records up to and including the offset are applied.
	WaitApplied(ctx context.Context, offset model.Offset) error
	// Winner returns the first claim of the request, if there is one.
	Winner(ws model.WorkspaceID, id model.RequestID) (WinningClaim, bool)
	// CompleteSince returns the log time since which all claims are known, or zero if no claim is missing.
	CompleteSince() time.Time
}

// ResultFetcher fetches the result of a request from the entry host that claimed it.
type ResultFetcher interface {
	// FetchResult waits while the request is in progress on the host. If it fails, the outcome of the request is unknown.
	FetchResult(ctx context.Context, host model.HostID, ws model.WorkspaceID, id model.RequestID) (Result, error)
}

// ClaimOutcome is the outcome of an attempt to claim a request.
type ClaimOutcome string

// Outcomes of a claim.
const (
	ClaimWon     ClaimOutcome = "won"     // this host may send the request
	ClaimLost    ClaimOutcome = "lost"    // another claim came first
	ClaimRefused ClaimOutcome = "refused" // this host does not send the request, for the reason in Decision.Err
)

// Decision states whether this host may send a request.
type Decision struct {
	Outcome    ClaimOutcome
	Winner     model.HostID // host of the winning claim, empty if refused
	Err        *model.Error // error for the caller if refused, otherwise nil
	IDUnusable bool         // refused, but the claim may have been appended, so the request id can't be used again

	claimID ClaimID // id of this host's claim, set if its append was confirmed
}

// Request identifies a non-idempotent request.
type Request struct {
	Workspace model.WorkspaceID
	ID        model.RequestID
	// Digest identifies the content of the request: caller, service, class and body. Retries of a request have the same digest.
	Digest string
	// IsRetry is set if the caller may have sent the request before, to any entry host. The outcome of a refusal is then
	// unknown instead of not-run, because another host may have run the earlier call.
	IsRetry bool
}

// Result is the response to a request or its error. It is stored for retries of the request and for other entry hosts.
type Result struct {
	Digest      string       `json:"digest"`
	Body        []byte       `json:"body,omitempty"`
	ContentType string       `json:"content-type,omitempty"`
	Runner      model.HostID `json:"runner,omitempty"`
	Error       *model.Error `json:"error,omitempty"` // nil if the runner has responded
}

// RunFunc sends a claimed request once and returns the response of the runner, or a Result with Error set.
type RunFunc func(ctx context.Context) Result

// Options configures a Claimer. Zero limits select the defaults.
type Options struct {
	Host        model.HostID
	Appender    Appender
	Index       ClaimIndex
	Results     ResultFetcher
	ClaimWindow time.Duration    // maximum age of the id of a non-idempotent request
	ClockSkew   time.Duration    // tolerated difference between clocks
	MaxResults  int              // maximum number of requests in progress and stored results
	MaxBytes    model.Bytes      // maximum total size of the stored results
	Now         func() time.Time // nil selects time.Now
	// OnViolation is called when a request was about to be sent a second time; args are key-value pairs for the log.
	// It may be nil.
	OnViolation func(inv asserter.Invariant, args ...any)
}
