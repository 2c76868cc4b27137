// Package fault injects faults into the fakes of the platform: it keeps the faults that are switched on
// and provides the HTTP middleware that applies them and counts requests.
package fault
