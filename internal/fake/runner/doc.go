// Package runner is a fake of an upstream that answers service requests and
// counts how often it ran each request id.
package runner
