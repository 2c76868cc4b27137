package differ

import (
	"bytes"
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// ChangeKind says how an object or a field of it differs.
type ChangeKind string

// The kinds of changes.
const (
	ChangeAdded   ChangeKind = "added"
	ChangeRemoved ChangeKind = "removed"
	ChangeChanged ChangeKind = "changed"
)

// FieldChange is a difference between two configurations: an object that only one of them has, or a field of an object that both have.
type FieldChange struct {
	Change ChangeKind       `json:"change"`
	Kind   model.ObjectKind `json:"kind"`
	Name   string           `json:"name,omitempty"`
	Field  string           `json:"field,omitempty"` // path with dots, names with dots in quotes; empty for a whole object
	Old    json.RawMessage  `json:"old,omitempty"`   // absent if it was added
	New    json.RawMessage  `json:"new,omitempty"`   // absent if it was removed
}

// String returns the change as one line of text.
func (c FieldChange) String() string {
	s := strings.TrimSpace(string(c.Change) + " " + string(c.Kind) + " " + c.Name)
	if c.Field != "" {
		s += ": " + c.Field
	}
	switch c.Change {
	case ChangeAdded:
		return s + ": " + string(c.New)
	case ChangeRemoved:
		return s + ": " + string(c.Old)
	}
	return s + ": " + string(c.Old) + " -> " + string(c.New)
}

// DiffFields returns the differences between two configurations, sorted by kind, name and field.
func DiffFields(old, wanted Objects) []FieldChange {
	var changes []FieldChange
	for key, spec := range wanted {
		if oldSpec, ok := old[key]; ok {
			changes = append(changes, diffObject(key, oldSpec, spec)...)
		} else {
			changes = append(changes, FieldChange{Change: ChangeAdded, Kind: key.Kind, Name: key.Name, New: spec})
		}
	}
	for key, spec := range old {
		if _, ok := wanted[key]; !ok {
			changes = append(changes, FieldChange{Change: ChangeRemoved, Kind: key.Kind, Name: key.Name, Old: spec})
		}
	}
	slices.SortFunc(changes, func(a, b FieldChange) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Field, b.Field), cmp.Compare(a.Change, b.Change))
	})
	return changes
}

// diffObject returns the differences between the fields of two objects.
func diffObject(key ObjectKey, old, wanted json.RawMessage) []FieldChange {
	oldFields, newFields := map[string]json.RawMessage{}, map[string]json.RawMessage{}
	addFields(oldFields, "", old)
	addFields(newFields, "", wanted)
	var changes []FieldChange
	for field, value := range newFields {
		oldValue, ok := oldFields[field]
		switch {
		case !ok:
			changes = append(changes, FieldChange{Change: ChangeAdded, Kind: key.Kind, Name: key.Name, Field: field, New: value})
		case !equalValues(oldValue, value):
			changes = append(changes, FieldChange{Change: ChangeChanged, Kind: key.Kind, Name: key.Name, Field: field, Old: oldValue, New: value})
		}
	}
	for field, value := range oldFields {
		if _, ok := newFields[field]; !ok {
			changes = append(changes, FieldChange{Change: ChangeRemoved, Kind: key.Kind, Name: key.Name, Field: field, Old: value})
		}
	}
	return changes
}

// addFields adds the values of an object to out, by their paths. Values other than objects, and empty objects, have no parts. The path of an object
// that is none, such as null, is empty.
func addFields(out map[string]json.RawMessage, path string, value json.RawMessage) {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(value, &members); err != nil || len(members) == 0 {
		if path != "" || members == nil {
			out[path] = Compact(value)
		}
		return
	}
	for _, name := range slices.Sorted(maps.Keys(members)) {
		child := name
		if strings.Contains(name, ".") {
			child = strconv.Quote(name)
		}
		if path != "" {
			child = path + "." + name
		}
		addFields(out, child, members[name])
	}
}

// Compact returns a JSON value without blanks and with sorted members, so that equal values have equal encodings.
func Compact(value json.RawMessage) json.RawMessage {
	d := json.NewDecoder(bytes.NewReader(value))
	d.UseNumber()
	var v any
	if d.Decode(&v) != nil {
		return value
	}
	data, err := json.Marshal(v)
	if err != nil {
		return value
	}
	return data
}

// equalValues reports whether two compact values are equal. Numbers in different notations, such as 3 and 3.0, are.
func equalValues(a, b json.RawMessage) bool {
	if bytes.Equal(a, b) {
		return true
	}
	if !bytes.ContainsAny(a, ".eE") && !bytes.ContainsAny(b, ".eE") {
		return false // whole numbers are compared by their digits, since not all have an exact floating-point value
	}
	x, errA := strconv.ParseFloat(string(a), 64)
	y, errB := strconv.ParseFloat(string(b), 64)
	return errA == nil && errB == nil && x == y
}
