// Package hostclient reads the platform's host list, which is JSON over HTTP.
package hostclient
