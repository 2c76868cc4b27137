package settings

import (
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Defaults of the intervals; section 3 of docs/design.md gives the reasons.
const (
	DefaultTaskLease    model.Millis = 8_000
	DefaultStop         model.Millis = 500
	DefaultHostListPoll model.Millis = 500
	DefaultClaimWindow  model.Millis = 900_000
	DefaultDrainBound   model.Millis = 30_000
	DefaultKeepJobs     model.Millis = 600_000
)

// Settings is what an entry host needs to know to start; all else is published configuration.
type Settings struct {
	HostID              model.HostID   `json:"host-id"`
	FailureDomain       model.DomainID `json:"failure-domain"`
	Region              model.RegionID `json:"region"`
	ListenAddr          string         `json:"listen"`                // IP:port of the HTTP listener
	LogURL              string         `json:"log-url"`               // of the platform's log service
	HostListURL         string         `json:"host-list-url"`         // of the platform's host list
	OperatorTokenSHA256 string         `json:"operator-token-sha256"` // hex digest of the token for the first publish
	LogLevel            string         `json:"log-level"`             // trace, debug, info, warn, error

	TaskLease            model.Millis `json:"task-lease-ms"` // of everything that runs on a worker
	StopTimeout          model.Millis `json:"stop-ms"`       // that a worker may take to stop a run
	HostListPollInterval model.Millis `json:"host-list-poll-ms"`
	ClaimWindow          model.Millis `json:"claim-window-ms"` // oldest non-idempotent request accepted
	DrainTimeout         model.Millis `json:"drain-bound-ms"`  // longest graceful shutdown
	JobRetention         model.Millis `json:"keep-jobs-ms"`    // that the state of an ended job is kept
}

// Duration converts milliseconds on the wire or in settings.
func Duration(ms model.Millis) time.Duration {
	return time.Duration(ms) * time.Millisecond
}

// Load reads and checks a settings file; the error lists all faults with their positions.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings: cannot read the file; check the path given with --settings")
	}
	s, faults := Parse(data)
	if len(faults) > 0 {
		return Settings{}, &FaultsError{Path: path, Faults: faults}
	}
	return s, nil
}

func (s *Settings) setDefaults() {
	for _, d := range []struct {
		p *model.Millis
		v model.Millis
	}{
		{&s.TaskLease, DefaultTaskLease},
		{&s.StopTimeout, DefaultStop},
		{&s.HostListPollInterval, DefaultHostListPoll},
		{&s.ClaimWindow, DefaultClaimWindow},
		{&s.DrainTimeout, DefaultDrainBound},
		{&s.JobRetention, DefaultKeepJobs},
	} {
		if *d.p == 0 {
			*d.p = d.v
		}
	}
	if s.LogLevel == "" {
		s.LogLevel = "info"
	}
}

// check calls report with the key and text of each fault.
func (s *Settings) check(report func(key, text string)) {
	required := []struct{ key, value string }{
		{"host-id", string(s.HostID)},
		{"failure-domain", string(s.FailureDomain)},
		{"region", string(s.Region)},
		{"listen", s.ListenAddr},
		{"log-url", s.LogURL},
		{"host-list-url", s.HostListURL},
	}
	for _, r := range required {
		if r.value == "" {
			report(r.key, "is missing; add it")
		}
	}
	s.checkAddresses(report)
	s.checkIntervals(report)
	if hclog.LevelFromString(s.LogLevel) == hclog.NoLevel {
		report("log-level", "is unknown; use trace, debug, info, warn or error")
	}
	if n := len(s.OperatorTokenSHA256); n != 0 && n != sha256HexLen {
		report("operator-token-sha256", "is no SHA-256 digest; give 64 hexadecimal digits")
	}
}

// sha256HexLen is the length of a SHA-256 digest in hexadecimal digits.
const sha256HexLen = 64

func (s *Settings) checkAddresses(report func(key, text string)) {
	for _, a := range []struct{ key, value string }{
		{"listen", s.ListenAddr},
	} {
		if a.value == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			report(a.key, "is no IP address with port; write it like 10.0.0.1:7000")
		}
	}
	for _, u := range []struct{ key, value string }{
		{"log-url", s.LogURL}, {"host-list-url", s.HostListURL},
	} {
		if u.value == "" {
			continue
		}
		if p, err := url.Parse(u.value); err != nil || p.Scheme != "http" || p.Host == "" {
			report(u.key, "is no URL; write it like http://10.0.0.1:8000")
		}
	}
}

func (s *Settings) checkIntervals(report func(key, text string)) {
	for _, i := range []struct {
		key   string
		value model.Millis
	}{
		{"task-lease-ms", s.TaskLease},
		{"stop-ms", s.StopTimeout},
		{"host-list-poll-ms", s.HostListPollInterval},
		{"claim-window-ms", s.ClaimWindow},
		{"drain-bound-ms", s.DrainTimeout},
		{"keep-jobs-ms", s.JobRetention},
	} {
		if i.value < 0 {
			report(i.key, "is negative; give a positive number of milliseconds")
		}
	}
	// A report is renewed every 2 s, and one may be lost.
	if s.TaskLease < minTaskLease {
		report("task-lease-ms", "is shorter than two reports of 2 s; raise it")
	}
}

// minTaskLease covers two reports of a worker, so that one lost report ends no run.
const minTaskLease model.Millis = 5_000
