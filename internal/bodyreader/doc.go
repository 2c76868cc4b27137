// Package bodyreader reads request bodies of untrusted clients within a budget of bytes that all requests of a process share,
// and within a time and a least rate.
package bodyreader
