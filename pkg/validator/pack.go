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

// block is a free aligned block. A cell of whole workers takes 2^i workers of one rack; smaller cells split a worker.
type block struct {
	workers      int                // power of two; 1 for a worker or a part of one
	accelerators model.Accelerators // per worker
}

func (b block) size() model.Accelerators { return model.Accelerators(b.workers) * b.accelerators }

// blocks splits the racks into their largest aligned blocks: a rack of 11 workers gives blocks of 8, 2 and 1. A worker
// whose count of accelerators is no power of two is split likewise, and forms no blocks with its neighbours.
func blocks(d model.FailureDomain) map[block]int {
	free := map[block]int{}
	for _, r := range d.Racks {
		if r.Accelerators == 0 {
			continue
		}
		if r.Accelerators&(r.Accelerators-1) == 0 {
			for bit := 1; bit <= r.Workers; bit <<= 1 {
				if r.Workers&bit != 0 {
					free[block{bit, r.Accelerators}]++
				}
			}
			continue
		}
		for bit := model.Accelerators(1); bit <= r.Accelerators; bit <<= 1 {
			if r.Accelerators&bit != 0 {
				free[block{1, bit}] += r.Workers
			}
		}
	}
	return free
}

// pack places the cells largest first, each into the smallest block that fits, and returns what does not fit. As all
// sizes are powers of two, the order makes the packing exact: a failure means that no packing exists.
func pack(d model.FailureDomain, want demand) []shortage {
	sizes := map[model.Accelerators]int{}
	for b, n := range blocks(d) {
		sizes[b.size()] += n
	}
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
