// Package router queues service requests and dispatches them to runners.
// A single event loop owns the queues, the runner tables and the slot accounting; other goroutines send it messages.
package router
