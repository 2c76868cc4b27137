// Package retrier counts the requests for one purpose, and says when the newest is sent again.
package retrier
