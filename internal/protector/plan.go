package protector

const (
	// reservedDescriptors are left for files, as the users ask.
	reservedDescriptors = 200
	// connectionBytes is the memory of a connection without bodies: the stack of its goroutine, the buffers of net/http, and its
	// share of the kernel's buffers while a request arrives.
	connectionBytes = 32 << 10
	// heldPerConnection is the part of connectionBytes that the process itself holds.
	heldPerConnection = 20 << 10
	// minConnections keeps a host reachable whose memory is nearly used up.
	minConnections = 32
	// bodyDivisor and minBodyDivisor divide the memory limit into the largest and the smallest budget for bodies. The smallest
	// lets ordinary requests pass on a host whose memory is nearly used up.
	bodyDivisor, minBodyDivisor = 8, 64
	// connectionDivisor divides the memory limit into the part that connections may use.
	connectionDivisor = 2
)

// Limits are the limits of the process.
type Limits struct {
	MemoryBytes     int64 // memory of the process
	SoftMemoryBytes int64 // memory at which the garbage collector runs more often
	Descriptors     int
}

// Usage is what the process uses.
type Usage struct {
	HeldBytes        int64 // memory of the process in use, including bodies and connections
	BodyBytes        int64 // memory charged for bodies
	Connections      int   // connections of clients
	OtherDescriptors int   // descriptors other than those of clients' connections
}

// BodyBudget returns the memory for the bodies of requests in progress: half of what is left below the soft limit, since the
// values decoded from bodies and the garbage of both need room, too. The load that it answers is a crowd of clients with large
// bodies beside a leader whose state grows.
func (l Limits) BodyBudget(u Usage) int64 {
	left := l.SoftMemoryBytes - (u.HeldBytes - u.BodyBytes)
	return min(max(left/2, l.MemoryBytes/minBodyDivisor), l.MemoryBytes/bodyDivisor)
}

// Connections returns how many connections of clients the process can bear. The load that it answers is a crowd of clients that
// open connections and send little.
func (l Limits) Connections(u Usage) int {
	own := u.HeldBytes - u.BodyBytes - int64(u.Connections)*heldPerConnection
	left := l.MemoryBytes - l.MemoryBytes/10 - own - l.BodyBudget(u)
	byMemory := int(min(left, l.MemoryBytes/connectionDivisor) / connectionBytes)
	return max(min(byMemory, l.Descriptors-reservedDescriptors-u.OtherDescriptors), minConnections)
}
