// Package server runs the HTTP server of one fake. The server can be stopped and restarted on the same address,
// as when the machine of the fake goes down and comes back.
package server
