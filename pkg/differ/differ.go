package differ

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Diff returns the changes that turn the configuration old into wanted, sorted by kind and name.
func Diff(old, wanted model.ConfigSet) ([]model.ConfigChange, error) {
	oldObjects, err := Encode(old)
	if err != nil {
		return nil, err
	}
	newObjects, err := Encode(wanted)
	if err != nil {
		return nil, err
	}
	var changes []model.ConfigChange
	for key, spec := range newObjects {
		if oldSpec, ok := oldObjects[key]; !ok || !bytes.Equal(oldSpec, spec) {
			changes = append(changes, model.ConfigChange{Kind: key.Kind, Name: key.Name, Spec: spec})
		}
	}
	for key := range oldObjects {
		if _, ok := newObjects[key]; !ok {
			changes = append(changes, model.ConfigChange{Kind: key.Kind, Name: key.Name})
		}
	}
	slices.SortFunc(changes, func(x, y model.ConfigChange) int {
		return cmp.Or(cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.Name, y.Name))
	})
	return changes, nil
}

// ObjectKey identifies a configuration object; names are unique only within a kind.
type ObjectKey struct {
	Kind model.ObjectKind
	Name string
}

// Objects holds the objects of a configuration as JSON.
type Objects map[ObjectKey]json.RawMessage

// Encode encodes each object of a configuration as JSON. Equal objects have equal encodings, because encoding/json sorts map
// keys.
func Encode(set model.ConfigSet) (Objects, error) {
	out := Objects{}
	err := cmp.Or(
		addObjects(out, model.ObjectKindFailureDomain, set.FailureDomains),
		addObjects(out, model.ObjectKindWorkspace, set.Workspaces),
		addObjects(out, model.ObjectKindClass, set.Classes),
		addObjects(out, model.ObjectKindGuarantee, set.Guarantees),
		addObjects(out, model.ObjectKindService, set.Services),
		addObjects(out, model.ObjectKindCaller, set.Callers),
		addObjects(out, model.ObjectKindOperator, set.Operators),
		addObjects(out, model.ObjectKindEvacuation, set.Evacuations),
	)
	return out, err
}

// addObjects adds the encoded objects of one kind to out.
func addObjects[N ~string, S any](out Objects, kind model.ObjectKind, specs map[N]S) error {
	for name, spec := range specs {
		data, err := json.Marshal(spec)
		if err != nil {
			return errors.Wrapf(err, "differ: cannot encode %s %s", kind, string(name))
		}
		out[ObjectKey{kind, string(name)}] = data
	}
	return nil
}
