// Package runner is a fake of a runner, the upstream of service requests. It counts how often it ran each request id.
package runner
