package crowd

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// sampleInterval is the interval at which the use of a process is sampled.
const sampleInterval = 25 * time.Millisecond

// Usage is what a process uses of its limits.
type Usage struct {
	ResidentBytes int64 // resident memory
	UnreadBytes   int64 // bytes that the kernel has received for the process and that it has not read
	Descriptors   int
}

// ReadUsage returns what a process uses now. The unread bytes are those of connections to the address.
func ReadUsage(pid int, addr netip.AddrPort) (Usage, error) {
	var u Usage
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return u, errors.Wrap(err, "crowd")
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, _ := strconv.ParseInt(fields[1], 10, 64)
			u.ResidentBytes = kb << 10
		}
	}
	if u.ResidentBytes == 0 {
		return u, errors.Newf("crowd: process %d has ended", pid)
	}
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return u, errors.Wrap(err, "crowd")
	}
	u.Descriptors = len(descriptors)
	u.UnreadBytes, err = readUnread(addr)
	return u, err
}

// readUnread returns the bytes received on connections to a local address and not read.
func readUnread(addr netip.AddrPort) (int64, error) {
	const (
		localField, stateField, queueField = 1, 3, 4
		listening                          = "0A"
	)
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, errors.Wrap(err, "crowd")
	}
	ip := addr.Addr().As4()
	local := fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(ip[:]), addr.Port())
	unread := int64(0)
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) <= queueField || fields[localField] != local || fields[stateField] == listening {
			continue
		}
		_, queue, _ := strings.Cut(fields[queueField], ":")
		n, _ := strconv.ParseInt(queue, 16, 64)
		unread += n
	}
	return unread, nil
}

// Once the process has accepted all connections, steadySamples in a row show descriptors that differ by at most steadyMargin,
// for which its other connections leave room.
const (
	steadySamples = 12
	steadyMargin  = 16
)

// Sampler samples the use of a process until it is stopped.
type Sampler struct {
	stop   chan struct{}
	done   chan struct{}
	steady chan struct{} // receives a value while the number of descriptors does not change
	peak   Peak
}

// Peak is the highest use of a process in a time.
type Peak struct {
	MemoryBytes   int64 // resident memory and unread bytes together
	ResidentBytes int64
	Descriptors   int
	Err           error // set if the process has ended
}

// StartSampler starts to sample a process that listens on the address.
func StartSampler(pid int, addr netip.AddrPort) *Sampler {
	s := &Sampler{stop: make(chan struct{}), done: make(chan struct{}), steady: make(chan struct{})}
	go func() {
		defer close(s.done)
		descriptors, same := 0, 0
		for isLast := false; !isLast && s.peak.Err == nil; {
			select {
			case <-s.stop:
				isLast = true
			case <-time.After(sampleInterval):
			}
			u, err := ReadUsage(pid, addr)
			s.peak.MemoryBytes = max(s.peak.MemoryBytes, u.ResidentBytes+u.UnreadBytes)
			s.peak.ResidentBytes = max(s.peak.ResidentBytes, u.ResidentBytes)
			s.peak.Descriptors = max(s.peak.Descriptors, u.Descriptors)
			s.peak.Err = err
			if same++; u.Descriptors < descriptors-steadyMargin || u.Descriptors > descriptors+steadyMargin {
				descriptors, same = u.Descriptors, 0
			}
			if same >= steadySamples {
				select {
				case s.steady <- struct{}{}:
				default:
				}
			}
		}
	}()
	return s
}

// AwaitSteady waits until the process has accepted or refused the connections made so far: until its number of descriptors
// hardly changes, the process has ended, or the timeout has passed.
func (s *Sampler) AwaitSteady(timeout time.Duration) {
	select {
	case <-s.steady:
	case <-s.done:
	case <-time.After(timeout):
	}
}

// Stop takes a last sample and returns the highest use.
func (s *Sampler) Stop() Peak {
	close(s.stop)
	<-s.done
	return s.peak
}
