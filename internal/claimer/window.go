package claimer

import (
	"encoding/hex"
	"strings"
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// requestIDTime returns the timestamp of a UUIDv7 in canonical lower-case form. Other forms of the same id are refused, because
// they would be claimed as different requests.
func requestIDTime(id model.RequestID) (time.Time, bool) {
	s := string(id)
	if len(s) != 36 || s != strings.ToLower(s) || s[8] != '-' || s[13] != '-' || s[18] != '-' || s[23] != '-' {
		return time.Time{}, false
	}
	b, err := hex.DecodeString(strings.ReplaceAll(s, "-", ""))
	if err != nil || len(b) != 16 || b[6]>>4 != 7 || b[8]>>6 != 2 {
		return time.Time{}, false
	}
	var ms int64
	for _, x := range b[:6] {
		ms = ms<<8 | int64(x)
	}
	return time.UnixMilli(ms), true
}

// checkWindow returns an error for a request id of which an earlier claim may have expired or may not have been read yet.
func (c *Claimer) checkWindow(id model.RequestID, now time.Time) *model.Error {
	createdAt, ok := requestIDTime(id)
	if !ok {
		return notRunError(model.ErrorKindInvalid, "request id is not a UUIDv7 in lower case", "send a UUIDv7 (RFC 9562) as request id")
	}
	// An id with a timestamp in the future could still be used after its claim has expired, so only the clock skew is tolerated.
	if createdAt.Before(now.Add(-c.opts.ClaimWindow)) || createdAt.After(now.Add(c.opts.ClockSkew)) {
		return notRunError(model.ErrorKindInvalid, "timestamp of the request id is outside the claim window", "make a new request id with the present time")
	}
	// The log time of a claim may be up to twice the clock skew before the timestamp of the request id: once because ids from
	// the future are accepted, and once because the clocks of the log and of the claiming host may differ.
	if since := c.opts.Index.CompleteSince(); !since.IsZero() && createdAt.Before(since.Add(2*c.opts.ClockSkew)) {
		return notRunError(model.ErrorKindNotReady, "this host does not know all claims since the request id was made", "make a new request id, or retry on another entry host")
	}
	return nil
}

func notRunError(kind model.ErrorKind, message, remedy string) *model.Error {
	return &model.Error{Outcome: model.OutcomeNotRun, Kind: kind, Message: message, Remedy: remedy}
}

func unknownError(kind model.ErrorKind, message string) *model.Error {
	return &model.Error{
		Outcome: model.OutcomeUnknown, Kind: kind, Message: message,
		Remedy: "repeat with the same request id to fetch the answer, and check its effect before a new request id is used",
	}
}
