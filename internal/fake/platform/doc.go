// Package platform runs a complete deployment of fakes in one process: the log, the host list, workers, runners and
// relays, and an admin interface that controls each fake by its name.
package platform
