package process

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"testing"
)

// binDir is the directory of the built programs under test.
var binDir string

const (
	maxClusters = 5 // clusters that run at the same time
	// maxTakeovers limits those in which hosts fail, so that the start of one cluster's processes does not delay the takeover of another.
	maxTakeovers = 2
)

// clusterSlots and takeoverSlots are semaphores in which each running cluster, and each of those in which hosts fail, occupies one slot.
var clusterSlots, takeoverSlots = make(chan struct{}, maxClusters), make(chan struct{}, maxTakeovers)

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "chestnutmux-process-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "process:", err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	const cmdPath = "chestnutmux.example/chestnutmux/cmd/"
	cmd := exec.Command("go", "build", "-o", dir+"/", cmdPath+"chestnutmux", cmdPath+"chestnutmux-fakes")
	if out, err := cmd.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "process: build: %v\n%s", err, out)
		return 1
	}
	binDir = dir
	flag.Parse()
	// The semaphores limit what runs at once. A test that waits for one would otherwise take the place of another.
	if err := flag.Set("test.parallel", "100"); err != nil {
		fmt.Fprintln(os.Stderr, "process:", err)
		return 1
	}
	return m.Run()
}
