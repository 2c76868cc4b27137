// Package limiter holds the budgets of service requests: retries and bytes on the link between regions.
// Time is an argument of all operations; nothing here is safe for concurrent use unless it says so.
package limiter
