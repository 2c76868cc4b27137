// Package limiter implements the budgets of service requests for retries and for bytes on the link between regions.
// Its functions take the time as an argument and are not safe for concurrent use.
package limiter
