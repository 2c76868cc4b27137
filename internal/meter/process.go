package meter

import (
	"runtime"
	"syscall"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// ProcessStats holds the CPU time and memory use of this process.
type ProcessStats struct {
	CPUMillis   float64     `json:"cpu-ms"`           // user and system CPU time since the start of the process
	MaxResident model.Bytes `json:"max-rss-bytes"`    // peak resident set size since the start of the process
	GoMemory    model.Bytes `json:"go-memory-bytes"`  // memory held by the Go runtime and not returned to the operating system
	HeapAlloc   model.Bytes `json:"heap-alloc-bytes"` // runtime.MemStats.HeapAlloc
	Sys         model.Bytes `json:"sys-bytes"`        // runtime.MemStats.Sys
	Goroutines  int         `json:"goroutines"`
	GCCount     uint32      `json:"gc-count"` // completed garbage collection cycles
}

// ReadProcessStats returns the current statistics of this process.
func ReadProcessStats() ProcessStats {
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	p := ProcessStats{
		GoMemory: model.Bytes(mem.Sys - mem.HeapReleased), HeapAlloc: model.Bytes(mem.HeapAlloc), Sys: model.Bytes(mem.Sys),
		Goroutines: runtime.NumGoroutine(), GCCount: mem.NumGC,
	}
	var usage syscall.Rusage
	// Getrusage fails only for an invalid argument.
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err == nil {
		p.CPUMillis = timevalMillis(usage.Utime) + timevalMillis(usage.Stime)
		p.MaxResident = model.Bytes(usage.Maxrss) << 10 // Linux reports KiB
	}
	return p
}

func timevalMillis(t syscall.Timeval) float64 { return float64(t.Sec)*1e3 + float64(t.Usec)/1e3 }
