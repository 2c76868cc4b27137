package daemon

import (
	"encoding/json"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/asserter"
	"chestnutmux.example/chestnutmux/internal/follower"
	"chestnutmux.example/chestnutmux/internal/logclient"
	"chestnutmux.example/chestnutmux/internal/reducer"
	"chestnutmux.example/chestnutmux/pkg/model"
	"chestnutmux.example/chestnutmux/pkg/validator"
)

// record is a publish that puts one workspace, at the given offset.
func record(t *testing.T, offset model.Offset, base model.Version, name string) logclient.Record {
	t.Helper()
	entry, err := reducer.Encode(reducer.ConfigEntry{Publish: &reducer.Publish{
		ID: name,
		Publish: model.Publish{Base: base, Schema: validator.Schema, Changes: []model.Change{
			{Kind: model.KindWorkspace, Name: name, Spec: json.RawMessage(`{"quota":8}`)},
		}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	data, err := json.Marshal([]json.RawMessage{entry})
	if err != nil {
		t.Fatal(err)
	}
	return logclient.Record{Offset: offset, ID: name, AtMS: 1000, Data: data}
}

// Guards against a host that starts and puts the versions of the past in force while it reads the log.
func TestOldVersionsStayOutOfForce(t *testing.T) {
	is := is.New(t)
	var inForce []model.Version
	task := newConfigTask(nil, nil, &asserter.Asserter{Fatal: true}, hclog.NewNullLogger(), func(v *configView) {
		inForce = append(inForce, v.version)
	})
	task.fold.Apply(record(t, 0, 0, "a"))
	is.Equal(task.fold.Version(), model.Version(1))
	task.read(follower.Status{Next: 1, End: 2})
	is.Equal(len(inForce), 0)
	is.Equal(task.view.Load().version, model.Version(0))
	task.fold.Apply(record(t, 1, 1, "b"))
	task.read(follower.Status{Next: 2, End: 2, CaughtUp: true})
	is.Equal(inForce, []model.Version{2})
	task.fold.Apply(record(t, 2, 2, "c"))
	task.read(follower.Status{Next: 3, End: 4}) // behind the log again, but newer than what is in force
	is.Equal(inForce, []model.Version{2, 3})
}
