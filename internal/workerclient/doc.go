// Package workerclient talks to the workers of the platform over HTTP with JSON.
package workerclient
