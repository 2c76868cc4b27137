// Package client calls an entry host on behalf of callers and operators.
package client
