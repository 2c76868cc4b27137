// Package logclient is a client of the log service that the project's own deployments use. The service speaks JSON over HTTP.
package logclient
