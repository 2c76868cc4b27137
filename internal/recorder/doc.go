// Package recorder keeps the metrics of an entry host: counters, and histograms for each workspace and class.
package recorder
