package process

import (
	"fmt"
	"os"
	"os/exec"
	"testing"
)

// binDir is the directory of the built programs under test.
var binDir string

// maxClusters limits the number of clusters that run at the same time.
const maxClusters = 4

// clusterSlots is a semaphore in which each running cluster occupies one slot.
var clusterSlots = make(chan struct{}, maxClusters)

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
	return m.Run()
}
