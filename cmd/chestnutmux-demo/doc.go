// Command chestnutmux-demo starts a whole deployment on loopback, runs work on it, kills an entry host midway and
// prints each outcome as a line of JSON.
package main
