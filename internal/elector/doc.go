// Package elector decides when a host starts an election to become leader.
//
// It uses neither the network nor a clock. The caller reports what it has observed and at what time.
package elector
