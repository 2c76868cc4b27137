// Package runnerclient sends service requests to one runner over HTTP.
// It tells requests that certainly did not run from those whose outcome is unknown.
package runnerclient
