// Package acceptor handles the calls of job owners on every entry host: submissions, cancellations and queries.
package acceptor
