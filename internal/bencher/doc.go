// Package bencher measures the scheduling policy on a virtual clock: it drives the real decision packages with small
// fake workers and a fixed seed, for the policy and for a baseline in one run on equal input.
package bencher
