package main

import (
	"bytes"
	"encoding/json"
	"os/exec"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a measurement that no longer starts, fills the fleet or sees the traffic of a planner.
func TestSmoke(t *testing.T) {
	is := is.New(t)
	bin := t.TempDir()
	const path = "chestnutmux.example/chestnutmux/cmd/"
	out, err := exec.Command("go", "build", "-o", bin+"/", path+"chestnutmux", path+"chestnutmux-fakes").CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	var buf bytes.Buffer
	is.NoErr(run(arguments{
		Bin: bin, Workers: 4, Tasks: 2, Gang: 4, Hosts: 1, Poll: 200 * time.Millisecond, Lease: 3 * time.Second,
		HostPoll: 200 * time.Millisecond, Changes: 60, Publish: 60, Time: 500 * time.Millisecond,
	}, &buf))
	var l line
	is.NoErr(json.Unmarshal(buf.Bytes(), &l))
	is.Equal(l.Role, "planner")
	is.Equal(l.Gangs, 2)
	is.True(l.CPU > 0 && l.MaxRSSMB > 0)
	for _, kind := range []string{"worker", "log", "host-list"} {
		is.True(l.Bytes[kind+"/in"] > 0 && l.Bytes[kind+"/out"] > 0)
	}
}
