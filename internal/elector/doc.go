// Package elector decides when a host starts an election to become leader.
//
// It uses neither the network nor a clock. The caller passes in what it has observed, with the time of each observation.
package elector
