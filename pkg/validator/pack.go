package validator

import (
	"maps"
	"slices"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// maxCell is the largest cell of any rack within the bounds of sizes.
const maxCell = maxRackWorkers * maxAccelerators

// demand counts the cells wanted by size.
type demand map[model.Accelerators]int

// shortage tells how many cells of a size do not fit.
type shortage struct {
	cell            model.Accelerators
	wanted, missing int
}

// packable reports whether the racks are within the bounds of sizes, so that their blocks can be counted.
func packable(d model.FailureDomain) bool {
	for _, r := range d.Racks {
		if r.Workers < 0 || r.Workers > maxRackWorkers || r.Accelerators < 0 || r.Accelerators > maxAccelerators {
			return false
		}
	}
	return true
}

// blocks counts, by size, the largest aligned blocks of the racks: 11 workers of 8 accelerators give blocks of 64, 16
// and 8. A worker whose count of accelerators is no power of two is split likewise, and forms no blocks with others.
func blocks(d model.FailureDomain) map[model.Accelerators]int {
	free := map[model.Accelerators]int{}
	for _, r := range d.Racks {
		per, workers := int(r.Accelerators), r.Workers
		split, unit, count := per, 1, workers
		if per&(per-1) == 0 {
			split, unit, count = workers, per, 1
		}
		for bit := 1; bit <= split; bit <<= 1 {
			if split&bit != 0 && unit > 0 {
				free[model.Accelerators(bit*unit)] += count
			}
		}
	}
	return free
}

// pack places the cells largest first, each into the smallest block that fits, and returns what does not fit. As all
// sizes are powers of two, the order makes the packing exact: a failure means that no packing exists.
func pack(d model.FailureDomain, want demand) []shortage {
	sizes := blocks(d)
	var short []shortage
	for _, cell := range slices.Backward(slices.Sorted(maps.Keys(want))) {
		left := want[cell]
		for _, size := range slices.Sorted(maps.Keys(sizes)) {
			if size < cell || left == 0 {
				continue
			}
			per := int(size / cell)
			opened := min(sizes[size], (left+per-1)/per)
			sizes[size] -= opened
			used := min(left, opened*per)
			left -= used
			// The rest of the last opened block stays usable as aligned smaller blocks.
			for rest, part := opened*per-used, cell; rest > 0; rest, part = rest>>1, part<<1 {
				if rest&1 != 0 {
					sizes[part]++
				}
			}
		}
		if left > 0 {
			short = append(short, shortage{cell, want[cell], left})
		}
	}
	return short
}
