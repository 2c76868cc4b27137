package meter

import (
	"runtime"
	"syscall"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Process describes the use of the machine by this process.
type Process struct {
	CPUMillis  float64     `json:"cpu-ms"`          // user and system time since the start
	Resident   model.Bytes `json:"max-rss-bytes"`   // largest resident size since the start
	Go         model.Bytes `json:"go-memory-bytes"` // held by the Go runtime and not returned to the system
	HeapAlloc  model.Bytes `json:"heap-alloc-bytes"`
	Sys        model.Bytes `json:"sys-bytes"`
	Goroutines int         `json:"goroutines"`
	GCCount    uint32      `json:"gc-count"`
}

// ReadProcess reads the use of this process.
func ReadProcess() Process {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	p := Process{
		Go: model.Bytes(m.Sys - m.HeapReleased), HeapAlloc: model.Bytes(m.HeapAlloc), Sys: model.Bytes(m.Sys),
		Goroutines: runtime.NumGoroutine(), GCCount: m.NumGC,
	}
	var u syscall.Rusage
	// It fails only for an invalid argument.
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err == nil {
		p.CPUMillis = millis(u.Utime) + millis(u.Stime)
		p.Resident = model.Bytes(u.Maxrss) << 10 // Linux counts in KiB
	}
	return p
}

func millis(t syscall.Timeval) float64 { return float64(t.Sec)*1e3 + float64(t.Usec)/1e3 }
