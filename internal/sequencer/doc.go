// Package sequencer orders waiting work by how useful its result still is to the caller.
package sequencer
