// Command standin3 plays the scripted cases of the third review: a small deployment with the built program as separate entry processes, and
// stand-ins of the platform's store, of runners and of clients that follow the users' pages.
package main

import (
	"errors"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errBroken reports that the rule of the case was broken.
var errBroken = errors.New("the rule was broken")

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns the exit code. Without TROUBLE=0 the disruption takes place.
func play(name, recordPath string) int {
	c := cases[name]
	if c == nil {
		fmt.Fprintln(os.Stderr, "no case", name)
		return exitNotRun
	}
	s, err := newSite(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.close()
	err = c(s, os.Getenv("TROUBLE") != "0")
	switch {
	case errors.Is(err, errBroken):
		s.note("result: %v", err)
		fmt.Println(err)
		return exitBroken
	case err != nil:
		s.note("result: not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	s.note("result: the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
