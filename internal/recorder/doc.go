// Package recorder holds the metrics of an entry host: gauges, counters, and histograms per workspace and class.
package recorder
