// Package fault holds the fault switches that all fakes of the platform share,
// and the HTTP middleware that applies them and counts requests.
package fault
