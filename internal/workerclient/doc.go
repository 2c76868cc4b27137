// Package workerclient sends requests to workers as JSON over HTTP. Package daemon uses it; package platform
// has a client of its own for workers of the users' platform.
package workerclient
