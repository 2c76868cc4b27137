package daemon

import (
	"chestnutmux.example/chestnutmux/internal/protector"
	"chestnutmux.example/chestnutmux/internal/settings"
)

// softMemoryFraction is the soft memory limit of the Go runtime as a fraction of the memory limit of the process. The rest is for
// the program itself and for buffers of the kernel.
const softMemoryFraction = 0.7

// SoftMemoryBytes returns the soft memory limit of the Go runtime for the settings.
func SoftMemoryBytes(s settings.Settings) int64 {
	return int64(softMemoryFraction * float64(s.MemoryMB) * (1 << 20))
}

// limitsOf returns the limits of the process.
func limitsOf(s settings.Settings) protector.Limits {
	return protector.Limits{MemoryBytes: int64(s.MemoryMB) << 20, SoftMemoryBytes: SoftMemoryBytes(s), Descriptors: s.MaxFDs}
}

// clientBounds returns the bounds for clients. Our own protocol has clients with addresses of their own, so that by default no
// address gets more than half of the connections.
func clientBounds(s settings.Settings) protector.Settings {
	return protector.Settings{
		MaxConnections: s.MaxConnections, MaxConnectionsPerAddress: s.MaxConnectionsPerAddress, BodyMemoryBytes: int64(s.BodyMemoryMB) << 20,
		BodyTimeout: settings.Duration(s.BodyTimeoutMS), MinBodyRate: int64(s.MinBodyRate), ReceiveBufferBytes: s.ReceiveBufferKB << 10,
		HalfPerAddress: true,
	}
}
