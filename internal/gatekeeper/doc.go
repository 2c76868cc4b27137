// Package gatekeeper bounds the start and stop requests in flight to one worker.
//
// The bounds are on connections and bytes, so that a distant worker gets many small requests a second, as it needs to for a gang that waits
// for its last member. Stop requests don't wait behind start requests.
package gatekeeper
