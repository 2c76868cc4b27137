// Package recorder records the metrics of an entry host, which are gauges, counters and histograms of durations.
package recorder
