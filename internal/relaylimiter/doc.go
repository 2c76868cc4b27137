// Package relaylimiter bounds what a host does on behalf of other hosts: the calls to the log that it makes for them, and the memory for
// responses until they have been sent.
package relaylimiter
