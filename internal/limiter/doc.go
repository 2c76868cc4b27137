// Package limiter implements budgets that limit the retries of service requests and the bytes on the link between regions.
// Its functions take the time as an argument. The budgets are not safe for concurrent use.
package limiter
