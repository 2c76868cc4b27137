// Package hostclient talks to the platform's host list over HTTP with JSON.
package hostclient
