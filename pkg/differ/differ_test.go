package differ

import (
	"testing"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Guards against changes to objects that are equal on both sides, which would conflict with the changes of other operators.
func TestDiffReturnsOnlyChangedObjects(t *testing.T) {
	is := is.New(t)
	old := model.ConfigSet{
		Workspaces: map[model.WorkspaceID]model.Workspace{"a": {Quota: 8}, "b": {Quota: 8}, "c": {Quota: 8}},
	}
	wanted := model.ConfigSet{
		Workspaces: map[model.WorkspaceID]model.Workspace{"a": {Quota: 8}, "b": {Quota: 16}},
		Classes:    map[model.ClassID]model.Class{"x": {Urgency: model.UrgencyBatch}},
	}
	changes, err := Diff(old, wanted)
	is.NoErr(err)
	is.Equal(len(changes), 3)
	is.Equal(changes[0].Kind, model.ObjectKindClass)
	is.Equal(changes[1].Name, "b")
	is.Equal(string(changes[1].Spec), `{"quota":16}`)
	is.Equal(changes[2].Name, "c")
	is.Equal(changes[2].Spec, nil)
}
