// Package validator validates a complete configuration and reports all faults
// at once, in a stable order, each with a remedy. Only the entry host that
// publishes a configuration validates it; other hosts accept what is in the
// log. Any change to the rules needs a new SchemaVersion, so that an entry
// host can refuse a publish request that was made for rules it does not know.
package validator
