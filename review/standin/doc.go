// Package standin holds the stand-ins of the review's scripts: the platform's store, runners, clients, and the control of entry
// processes. They follow PROTOCOL.md and answer on loopback addresses only.
package standin
