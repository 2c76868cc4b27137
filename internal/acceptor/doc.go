// Package acceptor handles the calls about jobs on every entry host: submissions, cancellations and queries.
package acceptor
