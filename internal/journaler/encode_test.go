package journaler

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Guards against uncompressed records of jobs with many tasks, which would saturate the links between regions, and against
// values that change when they are encoded and decoded.
func TestLargeRecordsAreCompressed(t *testing.T) {
	is := is.New(t)
	p := &Progress{Fence: 2, State: model.JobRunning, Steps: map[string]StepProgress{}}
	sp := StepProgress{RunningTasks: map[model.HostID][]int{}}
	for n := range 200 {
		id := model.HostID(fmt.Sprintf("i-%08x", n*2654435761))
		sp.RunningTasks[id] = append(sp.RunningTasks[id], n)
	}
	p.Steps[StepKey(0, 0)] = sp
	r, err := NewProgressRecord("wide", p)
	is.NoErr(err)
	is.True(len(r.Value) < 3000) // about 5 kB uncompressed
	var back Progress
	is.NoErr(decode(r.Value, &back))
	is.Equal(&back, p)
	small, err := NewProgressRecord("small", &Progress{Fence: 2, State: model.JobQueued})
	is.NoErr(err)
	is.Equal(small.Value[0], byte('{'))
	is.NoErr(decode(small.Value, &back))
	is.True(decode([]byte{compressedMarker, 0xff, 0xff}, &back) != nil)
}
