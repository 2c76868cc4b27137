package validator

import (
	"maps"
	"slices"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// maxCellSize is the number of accelerators in the largest valid rack.
const maxCellSize = maxRackWorkers * maxAccelerators

// cellDemand is the number of requested cells per cell size.
type cellDemand map[model.Accelerators]int

// shortage says how many of the requested cells of one size do not fit.
type shortage struct {
	cellSize           model.Accelerators
	requested, missing int
}

// withinSizeBounds reports whether the sizes of all racks are within the limits, which countBlocks requires.
func withinSizeBounds(d model.FailureDomain) bool {
	for _, r := range d.Racks {
		if r.Workers < 0 || r.Workers > maxRackWorkers || r.Accelerators < 0 || r.Accelerators > maxAccelerators {
			return false
		}
	}
	return true
}

// countBlocks splits the racks into aligned blocks that are as large as possible and counts them by size. For example, 11
// workers of 8 accelerators form blocks of 64, 16 and 8 accelerators. A worker whose number of accelerators is not a power
// of two is split in the same way and forms no blocks with other workers.
func countBlocks(d model.FailureDomain) map[model.Accelerators]int {
	blocks := map[model.Accelerators]int{}
	for _, r := range d.Racks {
		perWorker, workers := int(r.Accelerators), r.Workers
		units, unitSize, copies := perWorker, 1, workers
		if perWorker&(perWorker-1) == 0 {
			units, unitSize, copies = workers, perWorker, 1
		}
		for bit := 1; bit <= units; bit <<= 1 {
			if units&bit != 0 && unitSize > 0 {
				blocks[model.Accelerators(bit*unitSize)] += copies
			}
		}
	}
	return blocks
}

// packCells places the cells in descending order of size, each into the smallest block that fits, and returns the cells that
// do not fit. As all sizes are powers of two, this order is optimal: if it leaves cells over, no other packing fits them all.
func packCells(d model.FailureDomain, demand cellDemand) []shortage {
	free := countBlocks(d)
	var shortages []shortage
	for _, cellSize := range slices.Backward(slices.Sorted(maps.Keys(demand))) {
		remaining := demand[cellSize]
		for _, size := range slices.Sorted(maps.Keys(free)) {
			if size < cellSize || remaining == 0 {
				continue
			}
			cellsPerBlock := int(size / cellSize)
			opened := min(free[size], (remaining+cellsPerBlock-1)/cellsPerBlock)
			free[size] -= opened
			used := min(remaining, opened*cellsPerBlock)
			remaining -= used
			// The unused part of the last opened block is split into smaller aligned blocks, which stay available.
			for rest, partSize := opened*cellsPerBlock-used, cellSize; rest > 0; rest, partSize = rest>>1, partSize<<1 {
				if rest&1 != 0 {
					free[partSize]++
				}
			}
		}
		if remaining > 0 {
			shortages = append(shortages, shortage{cellSize, demand[cellSize], remaining})
		}
	}
	return shortages
}
