// Package detector tells faulty workers from faulty jobs by which workers and
// jobs fail together.
package detector
