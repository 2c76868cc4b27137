package reserver

import (
	"testing"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Guards against a demand for accelerators that does not count in a service with fewer accelerators than workers, or counts too much where their mean is no whole number.
func TestWorkersFilledByUnevenAccelerators(t *testing.T) {
	is := is.New(t)
	var p Pool
	for _, n := range []model.Accelerators{8, 0, 0, 0, 0, 0, 0, 0, 0, 0} {
		p.AddWorker(model.Resources{Cores: 32_000, MemoryMB: 131_072, Accelerators: n})
	}
	need := model.Resources{Cores: 1000, Accelerators: 4}
	is.Equal(p.workersFilled(need, 1), 5.0) // half of all accelerators fill half of the workers
	p.AddWorker(model.Resources{Cores: 32_000, MemoryMB: 131_072, Accelerators: 8})
	is.Equal(p.workersFilled(need, 1), 2.75)
	p = Pool{}
	for range 7 {
		p.AddWorker(model.Resources{Cores: 32_000, MemoryMB: 131_072, Accelerators: 8})
	}
	is.Equal(p.workersFilled(model.Resources{Accelerators: 1}, 3), 0.375)
}
