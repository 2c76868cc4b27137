package meter

import (
	"runtime"
	"testing"

	"github.com/matryer/is"
)

// Guards against garbage that counts as needed memory, and against needed memory that does not.
func TestReadMemory(t *testing.T) {
	is := is.New(t)
	const size = 64 << 20
	runtime.GC()
	before := ReadMemory()
	is.True(before.Needed > 0 && before.Needed < size)
	is.True(before.Soft > 0)
	kept := make([]byte, size)
	for i := range kept {
		kept[i] = 1
	}
	runtime.GC()
	held := ReadMemory()
	is.True(held.Needed-before.Needed > size/2)
	is.True(held.Resident == 0 || held.Resident > size/2)
	runtime.KeepAlive(kept)
	runtime.GC()
	is.True(ReadMemory().Needed-before.Needed < size/2)
}
