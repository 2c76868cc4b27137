// Package claimer runs non-idempotent requests at most once across all entry hosts.
// An entry host sends such a request only if its claim is the first one for the request id in the log.
package claimer
