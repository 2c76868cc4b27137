// Package claimer runs non-idempotent requests at most once across all entry hosts.
// A host sends such a request only after its claim is the first one for the request id in the log.
package claimer
