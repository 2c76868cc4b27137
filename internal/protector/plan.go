package protector

const (
	// reservedDescriptors are left for files, as the users ask.
	reservedDescriptors = 200
	// heldPerConnection is what the process holds for a connection without bodies: the stack of its goroutine and the buffers of
	// net/http.
	heldPerConnection = 20 << 10
	// kernelPerBuffer is what the kernel takes for each byte of a receive buffer that a client has filled.
	kernelPerBuffer = 2
	// minConnections keeps a host reachable whose memory is nearly used up.
	minConnections = 32
	// bodyDivisor and minBodyDivisor divide the memory limit into the largest and the smallest budget for bodies. The smallest
	// lets ordinary requests pass on a host whose memory is nearly used up.
	bodyDivisor, minBodyDivisor = 8, 64
	// kernelDivisor divides the memory limit into the part that the receive buffers of connections may fill. The rest above the
	// soft limit of 0.7 is for the program itself and for connections that wait to be accepted.
	kernelDivisor = 7
)

// Limits are the limits of the process.
type Limits struct {
	MemoryBytes     int64 // memory of the process
	SoftMemoryBytes int64 // memory at which the garbage collector runs more often
	Descriptors     int
	ReceiveBuffer   int // buffer of the kernel for what a connection has received, in bytes
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
	kernel := max(1, int64(l.ReceiveBuffer)*kernelPerBuffer)
	left := l.MemoryBytes - l.MemoryBytes/10 - own - l.BodyBudget(u)
	byMemory := int(min(left/(heldPerConnection+kernel), l.MemoryBytes/kernelDivisor/kernel))
	return max(min(byMemory, l.Descriptors-reservedDescriptors-u.OtherDescriptors), minConnections)
}
