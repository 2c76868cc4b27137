package publisher

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"chestnutmux.example/chestnutmux/pkg/model"
	"github.com/cockroachdb/errors"
)

// decodedChange is a model.ConfigChange with its spec decoded to the type of the object.
type decodedChange struct {
	objectKey
	references []objectKey                 // objects that the new spec refers to
	apply      func(*model.ConfigSet) bool // applies the change; returns false if the object to delete does not exist
}

// isDeletion reports whether a change deletes its object.
func isDeletion(ch model.ConfigChange) bool { return len(ch.Spec) == 0 || string(ch.Spec) == "null" }

// parseChanges decodes changes. It returns a fault for each change that is malformed, has an unknown kind or changes the same
// object as an earlier one.
func parseChanges(changes []model.ConfigChange) ([]decodedChange, []model.ConfigFault) {
	var decoded []decodedChange
	var faults []model.ConfigFault
	seen := map[objectKey]bool{}
	for _, ch := range changes {
		addFault := func(field, message, remedy string) {
			faults = append(faults, model.ConfigFault{Kind: ch.Kind, Name: ch.Name, Field: field, Message: message, Remedy: remedy})
		}
		k := objectKey{ch.Kind, ch.Name}
		if seen[k] {
			addFault("name", "the object is changed twice", "give each object one change")
			continue
		}
		seen[k] = true
		d, err := parseChange(ch)
		if err != nil {
			addFault("spec", err.Error(), "correct the object's fields")
			continue
		}
		if d.apply == nil {
			addFault("kind", fmt.Sprintf("the kind %q is unknown", ch.Kind),
				"use failure-domain, workspace, class, guarantee, service, caller, operator or evacuation")
			continue
		}
		decoded = append(decoded, d)
	}
	return decoded, faults
}

// parseChange decodes a change and collects the objects that its spec refers to. For an unknown kind, the apply function of
// the result is nil.
func parseChange(ch model.ConfigChange) (d decodedChange, err error) {
	switch ch.Kind {
	case model.ObjectKindFailureDomain:
		d, _, err = decodeChange(ch, func(s *model.ConfigSet) *map[model.DomainID]model.FailureDomain { return &s.FailureDomains })
	case model.ObjectKindWorkspace:
		d, _, err = decodeChange(ch, func(s *model.ConfigSet) *map[model.WorkspaceID]model.Workspace { return &s.Workspaces })
	case model.ObjectKindClass:
		d, _, err = decodeChange(ch, func(s *model.ConfigSet) *map[model.ClassID]model.Class { return &s.Classes })
	case model.ObjectKindGuarantee:
		var g model.Guarantee
		d, g, err = decodeChange(ch, func(s *model.ConfigSet) *map[model.GuaranteeID]model.Guarantee { return &s.Guarantees })
		d.addReference(model.ObjectKindWorkspace, string(g.Workspace))
		d.addReference(model.ObjectKindFailureDomain, string(g.FailureDomain))
	case model.ObjectKindService:
		var s model.Service
		d, s, err = decodeChange(ch, func(s *model.ConfigSet) *map[model.ServiceID]model.Service { return &s.Services })
		for _, w := range s.Workspaces {
			d.addReference(model.ObjectKindWorkspace, string(w))
		}
		for _, c := range s.Classes {
			d.addReference(model.ObjectKindClass, string(c))
		}
	case model.ObjectKindCaller:
		var c model.Caller
		d, c, err = decodeChange(ch, func(s *model.ConfigSet) *map[model.CallerID]model.Caller { return &s.Callers })
		d.addReference(model.ObjectKindWorkspace, string(c.Workspace))
	case model.ObjectKindOperator:
		d, _, err = decodeChange(ch, func(s *model.ConfigSet) *map[model.OperatorID]model.Operator { return &s.Operators })
	case model.ObjectKindEvacuation:
		d, _, err = decodeChange(ch, func(s *model.ConfigSet) *map[model.DomainID]model.Evacuation { return &s.Evacuations })
	}
	return d, err
}

// addReference adds a reference unless the name is empty.
func (d *decodedChange) addReference(kind model.ObjectKind, name string) {
	if name != "" {
		d.references = append(d.references, objectKey{kind, name})
	}
}

// decodeChange decodes a change of an object in one of the maps of a ConfigSet; mapOf returns that map. Unknown fields of the
// spec are errors, because they are probably misspelt.
func decodeChange[K ~string, V any](ch model.ConfigChange, mapOf func(*model.ConfigSet) *map[K]V) (decodedChange, V, error) {
	var spec V
	decoded := decodedChange{objectKey: objectKey{ch.Kind, ch.Name}}
	name := K(ch.Name)
	if isDeletion(ch) {
		decoded.apply = func(s *model.ConfigSet) bool {
			_, ok := (*mapOf(s))[name]
			delete(*mapOf(s), name)
			return ok
		}
		return decoded, spec, nil
	}
	decoder := json.NewDecoder(bytes.NewReader(ch.Spec))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&spec); err != nil {
		return decoded, spec, errors.Wrap(err, "the spec is malformed")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return decoded, spec, errors.New("the spec is followed by further data")
	}
	decoded.apply = func(s *model.ConfigSet) bool {
		m := mapOf(s)
		if *m == nil {
			*m = map[K]V{}
		}
		(*m)[name] = spec
		return true
	}
	return decoded, spec, nil
}
