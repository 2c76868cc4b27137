package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]].play == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		os.Exit(couldNot)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns the exit code of its script. TROUBLE=0 leaves out the disruption.
func play(name, dir string) int {
	c := cases[name]
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	s, err := newSite(filepath.Join(dir, "record.txt"), c.kinds)
	if s != nil {
		defer s.close(os.Getenv("KEEP_LOGS"))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin2:", err)
		return couldNot
	}
	done := make(chan int, 1)
	go func() { done <- c.play(s, os.Getenv("TROUBLE") != "0") }()
	result := couldNot
	select {
	case result = <-done:
	case <-stop:
	}
	s.record.printf("exit code %d", result)
	return result
}
