package claimer

import (
	"encoding/hex"
	"strings"
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// idTime returns the timestamp of a UUIDv7 in its canonical lower-case form. Other forms of the same id
// are refused, because they would be claimed as different requests.
func idTime(id model.RequestID) (time.Time, bool) {
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

// checkWindow refuses an id that an unseen or forgotten claim may hold.
func (c *Claimer) checkWindow(id model.RequestID, now time.Time) *model.Error {
	at, ok := idTime(id)
	if !ok {
		return notRun(model.ErrorKindInvalid, "request id is not a UUIDv7 in lower case", "send a UUIDv7 (RFC 9562) as request id")
	}
	// An id from the future would stay valid for longer than its claim is kept, so only clock skew is allowed for.
	if at.Before(now.Add(-c.opts.Window)) || at.After(now.Add(c.opts.Skew)) {
		return notRun(model.ErrorKindInvalid, "timestamp of the request id is outside the claim window", "make a new request id with the present time")
	}
	// A claim may be older than the timestamp of its id by the allowed future time, and by the skew between the
	// clocks of the log and of the host that appended it.
	if start := c.opts.Index.ViewStart(); !start.IsZero() && at.Before(start.Add(2*c.opts.Skew)) {
		return notRun(model.ErrorKindNotReady, "this host does not know all claims since the request id was made", "make a new request id, or retry on another entry host")
	}
	return nil
}

func notRun(kind model.ErrorKind, message, remedy string) *model.Error {
	return &model.Error{Outcome: model.OutcomeNotRun, Kind: kind, Message: message, Remedy: remedy}
}

func unknown(kind model.ErrorKind, message string) *model.Error {
	return &model.Error{
		Outcome: model.OutcomeUnknown, Kind: kind, Message: message,
		Remedy: "repeat with the same request id to fetch the answer, and check its effect before a new request id is used",
	}
}
