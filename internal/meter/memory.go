package meter

import (
	"bytes"
	"os"
	"runtime/debug"
	"runtime/metrics"
	"strconv"

	"chestnutmux.example/chestnutmux/internal/elector"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// memoryMetrics are the metrics of the Go runtime that ReadMemory adds up; the memory of the heap beyond what is live is garbage or
// free.
var memoryMetrics = []string{
	"/memory/classes/total:bytes", "/memory/classes/heap/released:bytes", "/memory/classes/heap/free:bytes",
	"/memory/classes/heap/unused:bytes", "/memory/classes/heap/objects:bytes", "/gc/heap/live:bytes",
}

// ReadMemory returns what this process uses of its memory.
func ReadMemory() elector.MemoryUse {
	samples := make([]metrics.Sample, len(memoryMetrics))
	for i, name := range memoryMetrics {
		samples[i].Name = name
	}
	metrics.Read(samples)
	value := func(i int) model.Bytes {
		if samples[i].Value.Kind() != metrics.KindUint64 {
			return 0
		}
		return model.Bytes(samples[i].Value.Uint64())
	}
	needed := value(0) - value(1) - value(2) - value(3) - value(4) + value(5)
	return elector.MemoryUse{Resident: readResident(), Needed: needed, Soft: model.Bytes(debug.SetMemoryLimit(-1))}
}

// readResident returns the resident memory of this process, or 0 if the system does not tell.
func readResident() model.Bytes {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := bytes.Fields(data)
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(string(fields[1]), 10, 64)
	if err != nil {
		return 0
	}
	return model.Bytes(pages) * model.Bytes(os.Getpagesize())
}
