package protector

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const megabyte = 1 << 20

// Guards against budgets that leave no room for the state of a leader, or none for callers on a host that is nearly full.
func TestBudgetsFollowMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		memory := rapid.Int64Range(48, 2048).Draw(t, "memory") * megabyte
		l := Limits{MemoryBytes: memory, SoftMemoryBytes: memory * 7 / 10, Descriptors: rapid.IntRange(256, 8192).Draw(t, "descriptors"), ReceiveBuffer: DefaultReceiveBufferBytes}
		u := Usage{
			HeldBytes:   rapid.Int64Range(memory/10, memory).Draw(t, "held"),
			Connections: rapid.IntRange(0, 8000).Draw(t, "connections"), OtherDescriptors: rapid.IntRange(3, 4000).Draw(t, "other"),
		}
		u.BodyBytes = rapid.Int64Range(0, memory/10).Draw(t, "bodies")
		budget, connections := l.BodyBudget(u), l.Connections(u)
		if budget < memory/minBodyDivisor || budget > memory/bodyDivisor {
			t.Fatalf("budget %d of %d", budget, memory)
		}
		if own := u.HeldBytes - u.BodyBytes; budget > memory/minBodyDivisor && own+2*budget > l.SoftMemoryBytes {
			t.Fatalf("budget %d beside %d exceeds %d", budget, own, l.SoftMemoryBytes)
		}
		if connections < minConnections || connections > minConnections && connections+u.OtherDescriptors+reservedDescriptors > l.Descriptors {
			t.Fatalf("%d connections beside %d of %d descriptors", connections, u.OtherDescriptors, l.Descriptors)
		}
		if filled := int64(connections) * DefaultReceiveBufferBytes * kernelPerBuffer; filled+l.SoftMemoryBytes > memory*9/10 && connections > minConnections {
			t.Fatalf("%d connections fill %d bytes beside %d of %d", connections, filled, l.SoftMemoryBytes, memory)
		}
	})
}

// Guards against bounds that ordinary bursts meet on the hosts of the users.
func TestOrdinaryBurstIsWithinBounds(t *testing.T) {
	for _, c := range []struct{ memoryMB, heldMB, descriptors, other, connections int64 }{
		{184, 30, 4100, 100, 1500}, {284, 110, 4100, 902, 2000}, {536, 200, 8192, 1985, 4000},
	} {
		is := is.New(t)
		l := Limits{MemoryBytes: c.memoryMB * megabyte, SoftMemoryBytes: c.memoryMB * megabyte * 7 / 10, Descriptors: int(c.descriptors), ReceiveBuffer: DefaultReceiveBufferBytes}
		u := Usage{HeldBytes: c.heldMB * megabyte, OtherDescriptors: int(c.other)}
		is.True(int64(l.Connections(u)) >= c.connections)
		is.True(l.BodyBudget(u) >= 2*5_000*1_000) // a thousand requests of the usual size at the same time
	}
}

// Guards against a bound of few connections that leaves the listener of the callers without a bound.
func TestFewConnectionsBoundEachListener(t *testing.T) {
	for n := 1; n <= 4; n++ {
		is := is.New(t)
		p := New(Config{Limits: Limits{MemoryBytes: 64 * megabyte, SoftMemoryBytes: 45 * megabyte, Descriptors: 400}, Settings: Settings{MaxConnections: n}})
		for _, bound := range []int{0, 64, 64} {
			_ = p.Wrap(&pipeListener{}, bound)
		}
		for _, l := range p.all() {
			is.True(l.limiter.Limits().Total > 0)
		}
	}
}

// Guards against hosts of a deployment of 300 that can't all connect to one of the smallest hosts.
func TestPeerConnections(t *testing.T) {
	is := is.New(t)
	is.True(Limits{MemoryBytes: 184 << 20, Descriptors: 4096}.PeerConnections() >= 4*299)
	is.Equal(Limits{MemoryBytes: 64 << 20, Descriptors: 400}.PeerConnections(), 133)
}
