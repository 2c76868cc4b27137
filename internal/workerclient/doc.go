// Package workerclient sends orders to workers as JSON over HTTP. It serves the project's own deployments; package platform
// has the client for workers of the users' platform.
package workerclient
