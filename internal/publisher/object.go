package publisher

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"chestnutmux.example/chestnutmux/pkg/model"
	"github.com/cockroachdb/errors"
)

// object is a decoded change: the names that it refers to, and how it changes a set.
type object struct {
	objectKey
	refs  []objectKey
	apply func(*model.ConfigSet) bool // false when the object to delete does not exist
}

func deleted(ch model.ConfigChange) bool { return len(ch.Spec) == 0 || string(ch.Spec) == "null" }

// parse decodes all changes and returns the faults of those that are malformed or name an object again.
func parse(changes []model.ConfigChange) ([]object, []model.ConfigFault) {
	var objects []object
	var faults []model.ConfigFault
	named := map[objectKey]bool{}
	for _, ch := range changes {
		fault := func(field, message, remedy string) {
			faults = append(faults, model.ConfigFault{Kind: ch.Kind, Name: ch.Name, Field: field, Message: message, Remedy: remedy})
		}
		k := objectKey{ch.Kind, ch.Name}
		if named[k] {
			fault("name", "the object is changed twice", "give each object one change")
			continue
		}
		named[k] = true
		o, err := parseChange(ch)
		if err != nil {
			fault("spec", err.Error(), "correct the object's fields")
			continue
		}
		if o.apply == nil {
			fault("kind", fmt.Sprintf("the kind %q is unknown", ch.Kind),
				"use failure-domain, workspace, class, guarantee, service, caller or operator")
			continue
		}
		objects = append(objects, o)
	}
	return objects, faults
}

func parseChange(ch model.ConfigChange) (o object, err error) {
	switch ch.Kind {
	case model.ObjectKindFailureDomain:
		o, _, err = change(ch, func(s *model.ConfigSet) *map[model.DomainID]model.FailureDomain { return &s.FailureDomains })
	case model.ObjectKindWorkspace:
		o, _, err = change(ch, func(s *model.ConfigSet) *map[model.WorkspaceID]model.Workspace { return &s.Workspaces })
	case model.ObjectKindClass:
		o, _, err = change(ch, func(s *model.ConfigSet) *map[model.ClassID]model.Class { return &s.Classes })
	case model.ObjectKindGuarantee:
		var g model.Guarantee
		o, g, err = change(ch, func(s *model.ConfigSet) *map[model.GuaranteeID]model.Guarantee { return &s.Guarantees })
		o.refer(model.ObjectKindWorkspace, string(g.Workspace))
		o.refer(model.ObjectKindFailureDomain, string(g.FailureDomain))
	case model.ObjectKindService:
		var s model.Service
		o, s, err = change(ch, func(s *model.ConfigSet) *map[model.ServiceID]model.Service { return &s.Services })
		for _, w := range s.Workspaces {
			o.refer(model.ObjectKindWorkspace, string(w))
		}
		for _, c := range s.Classes {
			o.refer(model.ObjectKindClass, string(c))
		}
	case model.ObjectKindCaller:
		var c model.Caller
		o, c, err = change(ch, func(s *model.ConfigSet) *map[model.CallerID]model.Caller { return &s.Callers })
		o.refer(model.ObjectKindWorkspace, string(c.Workspace))
	case model.ObjectKindOperator:
		o, _, err = change(ch, func(s *model.ConfigSet) *map[model.OperatorID]model.Operator { return &s.Operators })
	}
	return o, err
}

func (o *object) refer(kind model.ObjectKind, name string) {
	if name != "" {
		o.refs = append(o.refs, objectKey{kind, name})
	}
}

// change decodes the spec of a change to one map of a set; unknown fields are faults, as they are likely misspelt.
func change[K ~string, V any](ch model.ConfigChange, in func(*model.ConfigSet) *map[K]V) (object, V, error) {
	var spec V
	o := object{objectKey: objectKey{ch.Kind, ch.Name}}
	name := K(ch.Name)
	if deleted(ch) {
		o.apply = func(s *model.ConfigSet) bool {
			_, ok := (*in(s))[name]
			delete(*in(s), name)
			return ok
		}
		return o, spec, nil
	}
	d := json.NewDecoder(bytes.NewReader(ch.Spec))
	d.DisallowUnknownFields()
	if err := d.Decode(&spec); err != nil {
		return o, spec, errors.Wrap(err, "the spec is malformed")
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return o, spec, errors.New("the spec is followed by further data")
	}
	o.apply = func(s *model.ConfigSet) bool {
		m := in(s)
		if *m == nil {
			*m = map[K]V{}
		}
		(*m)[name] = spec
		return true
	}
	return o, spec, nil
}
