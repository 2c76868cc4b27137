package differ

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Diff returns the changes that turn old into wanted, ordered by kind and name.
func Diff(old, wanted model.ConfigSet) ([]model.ConfigChange, error) {
	a, err := objects(old)
	if err != nil {
		return nil, err
	}
	b, err := objects(wanted)
	if err != nil {
		return nil, err
	}
	var changes []model.ConfigChange
	for key, spec := range b {
		if was, ok := a[key]; !ok || !bytes.Equal(was, spec) {
			changes = append(changes, model.ConfigChange{Kind: key.kind, Name: key.name, Spec: spec})
		}
	}
	for key := range a {
		if _, ok := b[key]; !ok {
			changes = append(changes, model.ConfigChange{Kind: key.kind, Name: key.name})
		}
	}
	slices.SortFunc(changes, func(x, y model.ConfigChange) int {
		return cmp.Or(cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.Name, y.Name))
	})
	return changes, nil
}

type key struct {
	kind model.ObjectKind
	name string
}

// objects encodes each object of a set; encoding/json sorts map keys, so equal objects have equal bytes.
func objects(set model.ConfigSet) (map[key]json.RawMessage, error) {
	out := map[key]json.RawMessage{}
	err := cmp.Or(
		add(out, model.ObjectKindFailureDomain, set.FailureDomains),
		add(out, model.ObjectKindWorkspace, set.Workspaces),
		add(out, model.ObjectKindClass, set.Classes),
		add(out, model.ObjectKindGuarantee, set.Guarantees),
		add(out, model.ObjectKindService, set.Services),
		add(out, model.ObjectKindCaller, set.Callers),
		add(out, model.ObjectKindOperator, set.Operators),
	)
	return out, err
}

func add[N ~string, S any](out map[key]json.RawMessage, kind model.ObjectKind, specs map[N]S) error {
	for name, spec := range specs {
		data, err := json.Marshal(spec)
		if err != nil {
			return errors.Wrapf(err, "differ: cannot encode %s %s", kind, string(name))
		}
		out[key{kind, string(name)}] = data
	}
	return nil
}
