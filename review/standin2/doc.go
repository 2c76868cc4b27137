// Command standin2 plays the cases of the second review: it starts entry hosts as separate processes beside stand-ins of the
// platform's store, its runners and its clients, and judges what the stand-ins have seen.
package main
