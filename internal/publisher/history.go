package publisher

import (
	"cmp"
	"slices"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// maxDeletions bounds the deletions kept; beyond it, a publish based on a version before the oldest conflicts.
const maxDeletions = 4096

// LastChange is the latest change of an object.
type LastChange struct {
	Kind    model.ObjectKind    `json:"kind"`
	Name    string              `json:"name"`
	Version model.ConfigVersion `json:"version"`
	Author  model.OperatorID    `json:"author"`
	Deleted bool                `json:"deleted,omitempty"`
}

type objectKey struct {
	kind model.ObjectKind
	name string
}

// history holds the last change of each object, deleted ones included.
type history struct {
	last      map[objectKey]LastChange
	floor     model.ConfigVersion // deletions up to this version may be missing
	deletions int
}

func newHistory(floor model.ConfigVersion, changes []LastChange) history {
	h := history{floor: floor}
	for _, ch := range changes {
		h.note(ch)
	}
	return h
}

func (h *history) note(ch LastChange) {
	if h.last == nil {
		h.last = map[objectKey]LastChange{}
	}
	k := objectKey{ch.Kind, ch.Name}
	if h.last[k].Deleted {
		h.deletions--
	}
	if h.last[k] = ch; !ch.Deleted {
		return
	}
	if h.deletions++; h.deletions > maxDeletions {
		h.prune()
	}
}

// prune forgets the older half of the deletions.
func (h *history) prune() {
	var deleted []LastChange
	for _, ch := range h.last {
		if ch.Deleted {
			deleted = append(deleted, ch)
		}
	}
	slices.SortFunc(deleted, byVersion)
	for _, ch := range deleted[:len(deleted)/2] {
		delete(h.last, objectKey{ch.Kind, ch.Name})
		h.floor = max(h.floor, ch.Version)
		h.deletions--
	}
}

func (h *history) list() []LastChange {
	var list []LastChange
	for _, ch := range h.last {
		list = append(list, ch)
	}
	slices.SortFunc(list, byVersion)
	return list
}

func byVersion(a, b LastChange) int {
	return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

func (h *history) at(base model.ConfigVersion) View { return View{h, base} }

// View tells what has changed after a base version; it is valid until the fold applies the next record.
type View struct {
	h    *history
	base model.ConfigVersion
}

// Changed returns the last change of an object, if it came after the base version. For a base so old that deletions
// may be missing, an object without a listed change counts as changed by an unnamed author.
func (v View) Changed(kind model.ObjectKind, name string) (LastChange, bool) {
	ch, ok := v.h.last[objectKey{kind, name}]
	if !ok && v.base < v.h.floor {
		return LastChange{Kind: kind, Name: name, Version: v.h.floor, Deleted: true}, true
	}
	return ch, ok && ch.Version > v.base
}

// overtaken returns the first change after the base of an object that is changed or referred to.
func (v View) overtaken(objects []object) (LastChange, bool) {
	for _, o := range objects {
		for _, k := range append([]objectKey{{o.kind, o.name}}, o.refs...) {
			if ch, ok := v.Changed(k.kind, k.name); ok {
				return ch, true
			}
		}
	}
	return LastChange{}, false
}
