// Package logclient talks to the platform's log service over HTTP with JSON.
package logclient
