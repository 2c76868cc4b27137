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
	DefaultClaimWindow = 15 * time.Minute // design 3.11, claim-window
	DefaultClockSkew   = time.Minute      // design 3.11, claims are kept for the window plus this time
	// DefaultMaxResults covers one window of the largest normal rate, 20 non-idempotent requests per second and host.
	DefaultMaxResults = 20_000
	// DefaultMaxBytes keeps the results within a quarter of the 64 MB that a daemon may use.
	DefaultMaxBytes = 16 << 20
)

// ErrNotSent marks errors of appends whose claim certainly did not reach the log.
var ErrNotSent = errors.New("claimer: claim was not sent to the log")

// Claim reserves a request for one entry host.
type Claim struct {
	Workspace model.WorkspaceID
	Request   model.RequestID
	Host      model.HostID
}

// ClaimID identifies an appended claim by the id of its record and its index in the record. It is never reused, so that a
// restarted host does not mistake a claim of its earlier process for the current one.
type ClaimID struct {
	Record string
	Index  int
}

// Receipt confirms an append.
type Receipt struct {
	Offset  model.Offset // offset of the record that contains the claim
	ClaimID ClaimID
}

// WinningClaim is the first claim of a request in offset order.
type WinningClaim struct {
	Host    model.HostID
	ClaimID ClaimID
}

// Appender appends claims to the log.
type Appender interface {
	// Append returns where the claim was stored. If an error matches ErrNotSent or is a *model.Error with outcome not-run,
	// the claim was certainly not appended; after any other error it may have been.
	Append(ctx context.Context, c Claim) (Receipt, error)
}

// ClaimIndex is the index of the claims read from the log.
type ClaimIndex interface {
	// WaitApplied waits until all records up to and including the offset are applied.
	WaitApplied(ctx context.Context, offset model.Offset) error
	// Winner returns the first claim of the request, if there is one.
	Winner(ws model.WorkspaceID, id model.RequestID) (WinningClaim, bool)
	// CompleteSince returns the log time since which all claims are known; zero means that no claim is missing.
	CompleteSince() time.Time
}

// ResultFetcher fetches the result of a request from the entry host that claimed it.
type ResultFetcher interface {
	// FetchResult waits while the request is in progress on the host. After an error, the outcome of the request is unknown.
	FetchResult(ctx context.Context, host model.HostID, ws model.WorkspaceID, id model.RequestID) (Result, error)
}

// ClaimOutcome is the result of an attempt to claim a request.
type ClaimOutcome string

// Outcomes of a claim.
const (
	ClaimWon     ClaimOutcome = "won"
	ClaimLost    ClaimOutcome = "lost"
	ClaimRefused ClaimOutcome = "refused" // this host does not send the request for this claim
)

// Decision states whether this host may send the request.
type Decision struct {
	Outcome ClaimOutcome
	Winner  model.HostID // host of the winning claim, empty if refused
	Err     *model.Error // error for the caller, if refused
	IDSpent bool         // refused after the claim may have been appended, so the request id can't be reused

	claimID ClaimID // set if the append was confirmed
}

// Request identifies a non-idempotent request.
type Request struct {
	Workspace model.WorkspaceID
	ID        model.RequestID
	// Digest identifies the content of the request: caller, service, class and body. Only repeats of a request share it.
	Digest string
	// IsRetry is set if the caller may have sent the request before, to any entry host. The outcome of a refusal is then
	// unknown instead of not-run, because another host may have run the earlier call.
	IsRetry bool
}

// Result is the stored outcome of a request, returned to repeats of the request and to other entry hosts.
type Result struct {
	Digest      string       `json:"digest"`
	Body        []byte       `json:"body,omitempty"`
	ContentType string       `json:"content-type,omitempty"`
	Runner      model.HostID `json:"runner,omitempty"`
	Error       *model.Error `json:"error,omitempty"` // nil if answered
}

// RunFunc sends a claimed request once. It sets Result.Error unless the request was answered.
type RunFunc func(ctx context.Context) Result

// Options configures a Claimer. Zero limits select the defaults.
type Options struct {
	Host        model.HostID
	Appender    Appender
	Index       ClaimIndex
	Results     ResultFetcher
	ClaimWindow time.Duration    // maximum age of a request id
	ClockSkew   time.Duration    // tolerated difference between clocks
	MaxResults  int              // maximum number of requests in progress and stored results
	MaxBytes    model.Bytes      // maximum total size of the stored results
	Now         func() time.Time // nil selects time.Now
	// OnViolation is called when a request was about to be sent a second time; it may be nil.
	OnViolation func(inv asserter.Invariant, args ...any)
}
