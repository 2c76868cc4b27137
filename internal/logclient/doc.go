// Package logclient is a client of the log service in the project's own deployments, which speaks JSON over HTTP.
package logclient
