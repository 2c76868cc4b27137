// Package follower reads one stream of the log service by long poll and feeds
// its records in order to a fold, over outages and trimmed records.
package follower
