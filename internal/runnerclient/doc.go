// Package runnerclient sends service requests to one runner over HTTP.
// Its errors distinguish requests that certainly did not run from requests whose outcome is unknown.
package runnerclient
