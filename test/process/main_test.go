package process

import (
	"fmt"
	"os"
	"os/exec"
	"testing"
)

// bin is the directory of the programs under test.
var bin string

// maxClusters bounds the clusters that run at once.
const maxClusters = 4

var slots = make(chan struct{}, maxClusters)

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "chestnutmux-process-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "process:", err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	const path = "chestnutmux.example/chestnutmux/cmd/"
	build := exec.Command("go", "build", "-o", dir+"/", path+"chestnutmux", path+"chestnutmux-fakes")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "process: build: %v\n%s", err, out)
		return 1
	}
	bin = dir
	return m.Run()
}
