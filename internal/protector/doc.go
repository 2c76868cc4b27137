// Package protector keeps a process within its memory and its descriptors whatever its clients send: it derives how many
// connections and bytes of request bodies the process can bear, and counts and logs what is refused.
package protector
