package journaler

import (
	"encoding/hex"
	"math/bits"
)

// BitSet is a set of small non-negative integers; its zero value is empty.
type BitSet []byte

// Has reports whether i is in the set.
func (b BitSet) Has(i int) bool {
	return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0
}

// Set adds i to the set.
func (b *BitSet) Set(i int) {
	for len(*b) <= i/8 {
		*b = append(*b, 0)
	}
	(*b)[i/8] |= 1 << (i % 8)
}

// Count returns the number of integers in the set.
func (b BitSet) Count() int {
	n := 0
	for _, v := range b {
		n += bits.OnesCount8(v)
	}
	return n
}

// MarshalText encodes the set as hexadecimal digits.
func (b BitSet) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, b), nil
}

// UnmarshalText decodes a set that MarshalText encoded.
func (b *BitSet) UnmarshalText(text []byte) error {
	v, err := hex.AppendDecode(nil, text)
	*b = v
	return err
}
