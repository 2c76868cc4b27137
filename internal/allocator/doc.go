// Package allocator keeps the workers of one failure domain, the gangs on them
// and the buddy cells of guarantees, and places shapes on workers. It is pure:
// it opens no sockets, reads no clock and starts no goroutine.
//
// Accelerators within a worker are interchangeable, since workers report counts
// and not positions; adjacency matters between the workers of a rack.
package allocator
