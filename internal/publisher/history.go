package publisher

import (
	"cmp"
	"slices"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// maxDeletions is the maximum number of deletions kept in the history. Once deletions have been pruned, a publish based on a
// version before them is refused as a conflict if it involves an object that is not in the history.
const maxDeletions = 4096

// LastChange describes the last change of an object of the configuration.
type LastChange struct {
	Kind    model.ObjectKind    `json:"kind"`
	Name    string              `json:"name"`
	Version model.ConfigVersion `json:"version"` // version of the configuration that the change is part of
	Author  model.OperatorID    `json:"author"`
	Deleted bool                `json:"deleted,omitempty"`
}

// objectKey identifies an object of the configuration.
type objectKey struct {
	kind model.ObjectKind
	name string
}

// history holds the last change of each object, including deleted objects.
type history struct {
	lastChanges   map[objectKey]LastChange
	prunedThrough model.ConfigVersion // deletions up to and including this version may be missing
	deletionCount int                 // number of deletions in lastChanges
}

func newHistory(prunedThrough model.ConfigVersion, changes []LastChange) history {
	h := history{prunedThrough: prunedThrough}
	for _, ch := range changes {
		h.record(ch)
	}
	return h
}

// record replaces the last change of an object, and prunes the history if it contains more than maxDeletions deletions.
func (h *history) record(ch LastChange) {
	if h.lastChanges == nil {
		h.lastChanges = map[objectKey]LastChange{}
	}
	k := objectKey{ch.Kind, ch.Name}
	if h.lastChanges[k].Deleted {
		h.deletionCount--
	}
	if h.lastChanges[k] = ch; !ch.Deleted {
		return
	}
	if h.deletionCount++; h.deletionCount > maxDeletions {
		h.pruneDeletions()
	}
}

// pruneDeletions removes the older half of the deletions.
func (h *history) pruneDeletions() {
	var deleted []LastChange
	for _, ch := range h.lastChanges {
		if ch.Deleted {
			deleted = append(deleted, ch)
		}
	}
	slices.SortFunc(deleted, compareChanges)
	for _, ch := range deleted[:len(deleted)/2] {
		delete(h.lastChanges, objectKey{ch.Kind, ch.Name})
		h.prunedThrough = max(h.prunedThrough, ch.Version)
		h.deletionCount--
	}
}

// list returns the last change of each object, ordered by version.
func (h *history) list() []LastChange {
	var list []LastChange
	for _, ch := range h.lastChanges {
		list = append(list, ch)
	}
	slices.SortFunc(list, compareChanges)
	return list
}

// compareChanges orders changes by version, then by kind and name.
func compareChanges(a, b LastChange) int {
	return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

func (h *history) since(base model.ConfigVersion) changesSince { return changesSince{h, base} }

// changesSince looks up the changes made after a base version. It reads the history itself, not a copy, so it must not be used
// after further changes were recorded there.
type changesSince struct {
	history *history
	base    model.ConfigVersion
}

// lookup returns the last change of an object and whether it was made after the base version. If the base is so old that
// deletions may have been pruned, an object that is not in the history counts as deleted by an unknown author.
func (c changesSince) lookup(kind model.ObjectKind, name string) (LastChange, bool) {
	ch, ok := c.history.lastChanges[objectKey{kind, name}]
	if !ok && c.base < c.history.prunedThrough {
		return LastChange{Kind: kind, Name: name, Version: c.history.prunedThrough, Deleted: true}, true
	}
	return ch, ok && ch.Version > c.base
}

// firstConflict returns the first change since the base version to an object that the given changes modify or refer to.
func (c changesSince) firstConflict(changes []decodedChange) (LastChange, bool) {
	for _, changed := range changes {
		for _, k := range append([]objectKey{{changed.kind, changed.name}}, changed.references...) {
			if ch, ok := c.lookup(k.kind, k.name); ok {
				return ch, true
			}
		}
	}
	return LastChange{}, false
}
