package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"chestnutmux.example/chestnutmux/internal/budgeter"
	"chestnutmux.example/chestnutmux/internal/evacuator"
	"chestnutmux.example/chestnutmux/internal/protector"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Defaults of the settings with the same names.
const (
	// DefaultLeaseDurationMS exceeds minLeaseDurationMS, which already covers the loss of one report.
	DefaultLeaseDurationMS model.Millis = 8_000
	// DefaultStopTimeoutMS has no effect, like the setting.
	DefaultStopTimeoutMS          model.Millis = 500
	DefaultHostListPollIntervalMS model.Millis = 500
	// DefaultClaimWindowMS equals claimer.DefaultClaimWindow; claimer.DefaultMaxResults covers one window of that length.
	DefaultClaimWindowMS model.Millis = 900_000
	// DefaultDrainTimeoutMS covers up to 2 s to resign as the leader and two delays of 500 ms until callers have noticed the
	// shutdown; the rest is for the requests in progress.
	DefaultDrainTimeoutMS model.Millis = 30_000
	DefaultJobRetentionMS model.Millis = 600_000
	// DefaultMemoryMB and DefaultMaxFDs equal what the users' platform gives an entry host that it says nothing about.
	DefaultMemoryMB model.Megabytes = 256
	DefaultMaxFDs   int             = 4096
	// DefaultBodyTimeoutMS lets an operator publish the largest configuration over a slow link.
	DefaultBodyTimeoutMS model.Millis = 60_000
)

// Settings holds what an entry host needs to start. Everything else is part of the published configuration. The fields in
// milliseconds have the default if the setting is missing or 0.
type Settings struct {
	HostID              model.HostID   `json:"host-id"`
	FailureDomain       model.DomainID `json:"failure-domain"`
	Region              model.RegionID `json:"region"`
	ListenAddr          string         `json:"listen"`                // IP:port of the HTTP listener
	LogURL              string         `json:"log-url"`               // base URL of the platform's log service
	HostListURL         string         `json:"host-list-url"`         // URL of the platform's host list
	OperatorTokenSHA256 string         `json:"operator-token-sha256"` // hex digest of the token that may publish until an operator is configured
	LogLevel            string         `json:"log-level"`             // trace, debug, info, warn or error
	RunTimeEstimates    Switch         `json:"run-time-estimates"`    // on: expect the run times of finished runs; off: those that callers estimate

	LeaseDurationMS        model.Millis `json:"task-lease-ms"`     // duration of a worker lease
	StopTimeoutMS          model.Millis `json:"stop-ms"`           // time that a worker may take to stop a run; accepted, without effect
	HostListPollIntervalMS model.Millis `json:"host-list-poll-ms"` // interval between reads of the host list
	ClaimWindowMS          model.Millis `json:"claim-window-ms"`   // maximum age of the id of a non-idempotent request
	DrainTimeoutMS         model.Millis `json:"drain-bound-ms"`    // maximum duration of a graceful shutdown
	JobRetentionMS         model.Millis `json:"keep-jobs-ms"`      // time for which the state of an ended job is kept
	EvacuationBoundMS      model.Millis `json:"evacuation-ms"`     // time after a request from which on nothing may be started in an evacuated failure domain; 0 means no bound

	MemoryMB model.Megabytes `json:"memory-mb"` // memory limit of the process
	MaxFDs   int             `json:"max-fds"`   // file descriptors that the process can open

	// Bounds for clients. Those that are 0 are derived from the limits of the process or have their default.
	MaxConnections           int             `json:"max-connections"`
	MaxConnectionsPerAddress int             `json:"max-connections-per-address"`
	BodyMemoryMB             model.Megabytes `json:"body-memory-mb"`    // memory for the bodies of requests in progress
	BodyTimeoutMS            model.Millis    `json:"body-timeout-ms"`   // time for a whole request
	MinBodyRate              int             `json:"min-body-rate"`     // least rate of a large body in bytes per second
	ReceiveBufferKB          int             `json:"receive-buffer-kb"` // buffer of the kernel for the bytes that a connection has received
	JobMemoryMB              model.Megabytes `json:"job-memory-mb"`     // memory for accepted jobs
}

// Switch turns a feature on or off.
type Switch string

// The values of a switch.
const (
	SwitchOn  Switch = "on"
	SwitchOff Switch = "off"
)

// Duration converts milliseconds to a time.Duration.
func Duration(ms model.Millis) time.Duration {
	return time.Duration(ms) * time.Millisecond
}

// Load reads and validates a settings file. If the file has faults, the error is a FaultsError that lists all of them.
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

// setDefaults gives each duration that is 0, and each text with a default that is empty, its default.
func (s *Settings) setDefaults() {
	for _, d := range []struct {
		field *model.Millis
		value model.Millis
	}{
		{&s.LeaseDurationMS, DefaultLeaseDurationMS},
		{&s.StopTimeoutMS, DefaultStopTimeoutMS},
		{&s.HostListPollIntervalMS, DefaultHostListPollIntervalMS},
		{&s.ClaimWindowMS, DefaultClaimWindowMS},
		{&s.DrainTimeoutMS, DefaultDrainTimeoutMS},
		{&s.JobRetentionMS, DefaultJobRetentionMS},
		{&s.BodyTimeoutMS, DefaultBodyTimeoutMS},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	if s.MemoryMB == 0 {
		s.MemoryMB = DefaultMemoryMB
	}
	if s.MaxFDs == 0 {
		s.MaxFDs = DefaultMaxFDs
	}
	if s.RunTimeEstimates == "" {
		s.RunTimeEstimates = SwitchOn
	}
	if s.LogLevel == "" {
		s.LogLevel = "info"
	}
}

// validate checks all settings and calls addFault with the key and message of each fault.
func (s *Settings) validate(addFault func(key, message string)) {
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
			addFault(r.key, "is missing; add it")
		}
	}
	s.validateAddresses(addFault)
	s.validateIntervals(addFault)
	s.validateLimits(addFault)
	if hclog.LevelFromString(s.LogLevel) == hclog.NoLevel {
		addFault("log-level", "is unknown; use trace, debug, info, warn or error")
	}
	if s.RunTimeEstimates != SwitchOn && s.RunTimeEstimates != SwitchOff {
		addFault("run-time-estimates", "is unknown; use on or off")
	}
	if n := len(s.OperatorTokenSHA256); n != 0 && n != sha256HexLen {
		addFault("operator-token-sha256", "is no SHA-256 digest; give 64 hexadecimal digits")
	}
}

// sha256HexLen is the length of a SHA-256 digest in hexadecimal digits.
const sha256HexLen = 64

func (s *Settings) validateAddresses(addFault func(key, message string)) {
	for _, a := range []struct{ key, value string }{
		{"listen", s.ListenAddr},
	} {
		if a.value == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			addFault(a.key, "is no IP address with port; write it like 10.0.0.1:7000")
		}
	}
	for _, u := range []struct{ key, value string }{
		{"log-url", s.LogURL}, {"host-list-url", s.HostListURL},
	} {
		if u.value == "" {
			continue
		}
		if p, err := url.Parse(u.value); err != nil || p.Scheme != "http" || p.Host == "" {
			addFault(u.key, "is no URL; write it like http://10.0.0.1:8000")
		}
	}
}

func (s *Settings) validateIntervals(addFault func(key, message string)) {
	for _, i := range []struct {
		key   string
		value model.Millis
	}{
		{"task-lease-ms", s.LeaseDurationMS},
		{"stop-ms", s.StopTimeoutMS},
		{"host-list-poll-ms", s.HostListPollIntervalMS},
		{"claim-window-ms", s.ClaimWindowMS},
		{"drain-bound-ms", s.DrainTimeoutMS},
		{"keep-jobs-ms", s.JobRetentionMS},
		{"evacuation-ms", s.EvacuationBoundMS},
		{"body-timeout-ms", s.BodyTimeoutMS},
	} {
		if i.value < 0 {
			addFault(i.key, "is negative; give a positive number of milliseconds")
		}
	}
	if least := evacuator.MinBound.Milliseconds(); s.EvacuationBoundMS > 0 && int64(s.EvacuationBoundMS) < least {
		addFault("evacuation-ms", fmt.Sprintf("is too short to be kept; give at least %d, or 0 for no bound", least))
	}
	if s.BodyTimeoutMS > protector.MaxBodyTimeoutMS {
		addFault("body-timeout-ms", fmt.Sprintf("is more than %d; lower it", protector.MaxBodyTimeoutMS))
	}
	if s.LeaseDurationMS < minLeaseDurationMS {
		addFault("task-lease-ms", "is shorter than two reports of 2 s; raise it")
	}
}

// Lower bounds of the limits of the process.
const (
	// minMemoryMB is the memory of a process without callers and its runtime.
	minMemoryMB model.Megabytes = 48
	// minMaxFDs leaves room for connections beside the descriptors that are reserved for files.
	minMaxFDs = 256
)

func (s *Settings) validateLimits(addFault func(key, message string)) {
	for _, l := range []struct {
		key         string
		value, most int
	}{
		{"max-connections", s.MaxConnections, protector.MaxConnections},
		{"max-connections-per-address", s.MaxConnectionsPerAddress, protector.MaxConnections},
		{"body-memory-mb", int(s.BodyMemoryMB), protector.MaxBodyMemoryMB},
		{"min-body-rate", s.MinBodyRate, protector.MaxBodyRate},
		{"receive-buffer-kb", s.ReceiveBufferKB, protector.MaxReceiveBufferKB},
		{"job-memory-mb", int(s.JobMemoryMB), budgeter.MaxMemoryMB},
	} {
		switch {
		case l.value < 0:
			addFault(l.key, "is negative; give a positive number, or 0 for the default")
		case l.value > l.most:
			addFault(l.key, fmt.Sprintf("is more than %d; lower it, or give 0 for the default", l.most))
		}
	}
	if s.MemoryMB < minMemoryMB {
		addFault("memory-mb", "is less than 48, which a process without callers needs; raise it")
	}
	if s.MaxFDs < minMaxFDs {
		addFault("max-fds", "is less than 256, which leaves no room for connections; raise it")
	}
}

// minLeaseDurationMS covers two reports of a worker, which reports every 2 s, and a margin of 1 s, so that the worker lease does
// not expire when one report is lost.
const minLeaseDurationMS model.Millis = 5_000
