package protector

import "time"

// Defaults of the settings with the same names. No client that sends 262,144 bytes in three seconds, the time for which callers
// wait, meets them.
const (
	DefaultBodyTimeout              = 10 * time.Second
	DefaultMinBodyRate        int64 = 32 << 10 // bytes per second
	DefaultReceiveBufferBytes       = 8 << 10
)

// Upper bounds of the settings, above what any process can use. Their conversions don't overflow.
const (
	MaxConnections     = 1 << 20
	MaxBodyMemoryMB    = 1 << 20
	MaxBodyTimeoutMS   = 3_600_000
	MaxBodyRate        = 1 << 30 // of MinBodyRate, in bytes per second
	MaxReceiveBufferKB = 1 << 20
)

const (
	// headerTimeout limits the time to receive the header of a request.
	headerTimeout = 3 * time.Second
	// idleTimeout is how long a connection without a request is kept open.
	idleTimeout = 15 * time.Second
	// writeTimeout limits the time from the header of a request to the end of its response. It is longer than any call takes.
	writeTimeout = 30 * time.Second
	// bodyGrace is the time for each step of a body beside that of the least rate, so that a lost packet is repeated in time.
	bodyGrace = time.Second
	// maxHeaderBytes bounds the header, which is read before anything is known of the request.
	maxHeaderBytes = 16 << 10
	// sendBufferBytes bounds what the kernel keeps of responses that a client does not read.
	sendBufferBytes = 64 << 10
)

// MaxCallTime is the longest time for which a handler may work on a request before the server gives the response up.
const MaxCallTime = writeTimeout - 5*time.Second

// Settings are the bounds that operators can set. Those that are 0 are derived from the limits of the process or have their default.
type Settings struct {
	MaxConnections           int   // connections of clients on all listeners
	MaxConnectionsPerAddress int   // connections of a client address
	HalfPerAddress           bool  // by default, a client address gets at most half of the connections of a listener
	BodyMemoryBytes          int64 // memory for the bodies of requests in progress
	BodyTimeout              time.Duration
	MinBodyRate              int64 // least rate of a body over bodyreader.FirstStepBytes, in bytes per second
	ReceiveBufferBytes       int   // buffer of the kernel for a connection
}

func (s *Settings) setDefaults() {
	if s.BodyTimeout == 0 {
		s.BodyTimeout = DefaultBodyTimeout
	}
	if s.MinBodyRate == 0 {
		s.MinBodyRate = DefaultMinBodyRate
	}
	if s.ReceiveBufferBytes == 0 {
		s.ReceiveBufferBytes = DefaultReceiveBufferBytes
	}
}

// perAddress returns the bound of connections of a client address, given that of all, or 0 if there is none.
func (s *Settings) perAddress(total int) int {
	switch {
	case s.MaxConnectionsPerAddress == 0 && s.HalfPerAddress:
		return max(1, total/2)
	case s.MaxConnectionsPerAddress == 0:
		return 0
	}
	return min(s.MaxConnectionsPerAddress, total)
}
