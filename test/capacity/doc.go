// Command capacity measures what control costs: "hosts" runs entry hosts as processes against the fakes, "state" measures
// folds, lists and planning in its own process. docs/CAPACITY.md names the command behind each figure.
package main
