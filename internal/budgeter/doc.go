// Package budgeter bounds the memory that accepted jobs take on each host. Every host holds all jobs, so that each can lead; the budget
// follows from the memory of the smallest one.
package budgeter
