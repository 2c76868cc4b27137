package settings

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const validSettings = `{
  // Identity of this entry host.
  "host-id": "kartli-a-e1",
  "failure-domain": "kartli-a",
  "region": "kartli",
  "listen": "127.0.0.1:7001",
  "log-url": "http://127.0.0.1:8000",
  "host-list-url": "http://127.0.0.1:8001",
}`

// Guards against defaults that are not applied when a key is absent.
func TestParseDefaults(t *testing.T) {
	is := is.New(t)
	s, faults := Parse([]byte(validSettings))
	is.Equal(len(faults), 0)
	is.Equal(s.LeaseDurationMS, DefaultLeaseDurationMS)
	is.Equal(s.LogLevel, "info")
}

// Guards against a parser that stops at the first fault or reports faults at wrong positions.
func TestParseReportsAllFaults(t *testing.T) {
	is := is.New(t)
	text := strings.Replace(validSettings, `"region": "kartli",`, `"regoin": "kartli", "stop-ms": "soon",`, 1)
	text = strings.Replace(text, "127.0.0.1:7001", "localhost", 1)
	_, faults := Parse([]byte(text))
	got := map[string]Fault{}
	for _, f := range faults {
		got[f.Key] = f
	}
	is.Equal(len(faults), 4)
	is.Equal(got["regoin"].Line, 5)
	is.Equal(got["regoin"].Column, 3)
	is.Equal(got["stop-ms"].Line, 5)
	is.Equal(got["listen"].Line, 6)
	is.Equal(got["region"].Line, 0)
}

// Guards against a panic on malformed input.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`[]`))
	f.Add([]byte(`{"stop-ms": 1e99, "stop-ms": null}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		Parse(data)
	})
}

// Guards against limits of the process that leave no room for callers.
func TestLimitsOfProcess(t *testing.T) {
	is := is.New(t)
	s, faults := Parse([]byte(validSettings))
	is.Equal(len(faults), 0)
	is.Equal(s.MemoryMB, DefaultMemoryMB)
	is.Equal(s.MaxFDs, DefaultMaxFDs)
	for _, limit := range []string{`"memory-mb": 47`, `"memory-mb": -1`, `"max-fds": 255`, `"max-fds": -1`, `"max-connections": -1`, `"body-timeout-ms": -1`, `"body-timeout-ms": 10000000000000`, `"max-connections": 10000000`} {
		_, faults = Parse([]byte(strings.Replace(validSettings, `"region"`, limit+`, "region"`, 1)))
		is.Equal(len(faults), 1)
	}
}
