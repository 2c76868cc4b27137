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

// process is a child process whose standard error goes to a log file.
type process struct {
	cmd     *exec.Cmd
	logFile *os.File
	exited  chan struct{} // closed when the process has ended
	exitErr error         // result of Wait; set before exited is closed
}

// startProcess starts a program. If waitUntilReady is set, it waits for the first line of standard output and returns that line.
func startProcess(logPath string, waitUntilReady bool, name string, args ...string) (*process, string, error) {
	logFile, err := os.OpenFile(filepath.Clean(logPath), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, "", errors.Wrap(err, "launcher: open the log file")
	}
	p := &process{cmd: exec.Command(name, args...), logFile: logFile, exited: make(chan struct{})}
	p.cmd.Stderr = logFile
	// The child gets its own process group, so that signals of the terminal reach only this process, which decides what to stop.
	// If this process dies, the kernel kills the child.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	readyLine := ""
	if !waitUntilReady {
		err = p.cmd.Start()
	} else {
		readyLine, err = p.startAndReadLine()
	}
	if err != nil {
		return nil, "", errors.CombineErrors(errors.Wrapf(err, "launcher: %s", name), logFile.Close())
	}
	go func() {
		p.exitErr = p.cmd.Wait()
		_ = logFile.Close()
		close(p.exited)
	}()
	return p, readyLine, nil
}

// startAndReadLine starts the process and returns the first line of its standard output; if there is none, it kills the process.
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
		return "", errors.Wrap(err, "no ready line on standard output; see the log file")
	}
	return line, nil
}

// signal sends a signal to the process, or returns an error if it has ended.
func (p *process) signal(s syscall.Signal) error {
	select {
	case <-p.exited:
		return errors.New("launcher: the process has ended")
	default:
		return p.cmd.Process.Signal(s)
	}
}

// waitOrKill waits for the process to end and returns its exit error; after the timeout it kills the process.
func (p *process) waitOrKill(timeout time.Duration) error {
	select {
	case <-p.exited:
		return p.exitErr
	case <-time.After(timeout):
		_ = p.cmd.Process.Kill()
		<-p.exited
		return errors.Newf("launcher: process %d did not end within %s and was killed", p.cmd.Process.Pid, timeout)
	}
}
