// Package crowd is a fake of clients that send bodies of legal size up to their last byte and then stay silent. It also
// measures the memory and the descriptors of the process that they call.
package crowd
