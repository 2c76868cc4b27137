// Package router sends service requests to runners.
// One task owns the queue, the runner table and the slot accounting; other code talks to it by messages.
package router
