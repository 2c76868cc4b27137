// Package server runs the HTTP listener of one fake and can stop and restart it
// on the same address, as the machine of the fake would.
package server
