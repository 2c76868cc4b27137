// Package pacer limits how fast a leader sends start requests to workers, and adapts its timeouts to how fast they respond, so that
// start requests never take the capacity that lease renewals and reports need.
package pacer
