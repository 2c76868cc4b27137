// Package monitor keeps the membership of entry hosts from the host list and
// from heartbeats. Membership only divides work: it chooses the planner of a
// failure domain and the shares of runner slots, and safety never depends on it.
//
// Table is the pure state with time as an argument; Driver sends the heartbeats.
package monitor
