// Package reducer computes the state of an entry host from the records of the
// log streams: the configuration, the jobs and the claims. The folds are pure
// and deterministic: every host that has read the same records has the same
// state, whether it read all of them or started from a snapshot. A fold belongs
// to one goroutine; what its methods return may be shared and is not changed later.
package reducer
