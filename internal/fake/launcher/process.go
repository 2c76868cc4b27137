package launcher

import (
	"bufio"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// process is one started program; its standard error goes to a file.
type process struct {
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
	err  error // of Wait, valid once done is closed
}

// startProcess runs a program; with ready it returns the first line of its standard output.
func startProcess(logPath string, ready bool, name string, args ...string) (*process, string, error) {
	log, err := os.OpenFile(filepath.Clean(logPath), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, "", errors.Wrap(err, "launcher: log file")
	}
	p := &process{cmd: exec.Command(name, args...), log: log, done: make(chan struct{})}
	p.cmd.Stderr = log
	// A signal to the terminal's group must not reach the children before this process decides what to stop.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	line := ""
	if !ready {
		err = p.cmd.Start()
	} else {
		line, err = p.startAndReadLine()
	}
	if err != nil {
		return nil, "", errors.CombineErrors(errors.Wrapf(err, "launcher: %s", name), log.Close())
	}
	go func() {
		p.err = p.cmd.Wait()
		_ = log.Close()
		close(p.done)
	}()
	return p, line, nil
}

func (p *process) startAndReadLine() (string, error) {
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return "", err
	}
	if err := p.cmd.Start(); err != nil {
		return "", err
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		_ = p.cmd.Process.Kill()
		return "", errors.Wrap(err, "no ready line; see its log")
	}
	return line, nil
}

// signal sends a signal unless the process has ended.
func (p *process) signal(s syscall.Signal) error {
	select {
	case <-p.done:
		return errors.New("launcher: the process has ended")
	default:
		return p.cmd.Process.Signal(s)
	}
}

// wait returns the exit error, or kills the process after the bound.
func (p *process) wait(bound time.Duration) error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(bound):
		_ = p.cmd.Process.Kill()
		<-p.done
		return errors.Newf("launcher: process %d did not end within %s and was killed", p.cmd.Process.Pid, bound)
	}
}
