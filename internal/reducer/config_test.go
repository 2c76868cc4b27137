package reducer

import (
	"encoding/json"
	"fmt"
	"testing"

	"chestnutmux.example/chestnutmux/internal/logclient"
	"chestnutmux.example/chestnutmux/pkg/model"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var configs = subject{
	create: func() fold { return &Config{} },
	draw: func(t *rapid.T) any {
		ws, class := pick(t, "workspace", "a", "b"), pick(t, "class", "x", "y")
		specs := map[model.Kind]string{
			model.KindWorkspace: fmt.Sprintf(`{"quota":%d}`, rapid.IntRange(-1, 3).Draw(t, "quota")),
			model.KindClass:     `{"urgency":"batch"}`,
			model.KindService:   fmt.Sprintf(`{"workspaces":[%q],"classes":[%q],"slots":1,"connections":1}`, ws, class),
			model.KindOperator:  `{"misspelt":1}`,
		}
		names := map[model.Kind]string{model.KindWorkspace: ws, model.KindClass: class, model.KindService: "s", model.KindOperator: "o"}
		p := Publish{ID: fmt.Sprint(rapid.IntRange(0, 60).Draw(t, "id"))}
		p.Author = pick(t, "author", model.OperatorID("o1"), "o2")
		p.Base, p.Schema = model.Version(rapid.IntRange(0, 9).Draw(t, "base")), 1
		for _, k := range rapid.SliceOfN(rapid.SampledFrom([]model.Kind{
			model.KindWorkspace, model.KindWorkspace, model.KindClass, model.KindClass, model.KindService, model.KindOperator,
		}), 0, 3).Draw(t, "kinds") {
			ch := model.Change{Kind: k, Name: names[k], Spec: json.RawMessage(specs[k])}
			if rapid.IntRange(0, 4).Draw(t, "delete") == 0 {
				ch.Spec = nil
			}
			p.Changes = append(p.Changes, ch)
		}
		return ConfigEntry{Publish: &p}
	},
	snapshot: func(f fold) any { return f.(*Config).Snapshot() },
	restore:  func(f fold, b []byte) bool { return f.(*Config).Restore(decodeAs[ConfigSnapshot](b)) },
	entry: func(b []byte) any {
		s := decodeAs[ConfigSnapshot](b)
		return ConfigEntry{Snapshot: &s}
	},
	essence: func(f fold) any {
		s := f.(*Config).Snapshot()
		s.Position = Position{}
		return s
	},
}

// Two operators who publish at once must not overwrite each other's changes unseen, and versions only rise by one.
func TestConflictsAreExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &Config{}
		changed := map[string]model.Version{}
		for i := range 40 {
			e := configs.draw(t).(ConfigEntry)
			e.Publish.ID = fmt.Sprint(i)
			before, set := c.Version(), c.Set()
			content := string(encode(set))
			e.Publish.Base = min(e.Publish.Base, before)
			c.Apply(logclient.Record{Offset: model.Offset(i), ID: fmt.Sprint(i), Data: encode([]any{e})})
			v, ok := c.Verdict(e.Publish.ID)
			if !ok {
				t.Fatal("no verdict")
			}
			if string(encode(set)) != content || v.State != VerdictAccepted && string(encode(c.Set())) != content {
				t.Fatalf("the set in force was changed by %+v", v)
			}
			overtaken := false
			for _, ch := range e.Publish.Changes {
				overtaken = overtaken || changed[string(ch.Kind)+ch.Name] > e.Publish.Base
				var refs struct{ Workspaces, Classes []string }
				if ch.Spec != nil {
					refs = decodeAs[struct{ Workspaces, Classes []string }](ch.Spec)
				}
				for _, r := range refs.Workspaces {
					overtaken = overtaken || changed["workspace"+r] > e.Publish.Base
				}
				for _, r := range refs.Classes {
					overtaken = overtaken || changed["class"+r] > e.Publish.Base
				}
			}
			switch {
			case v.State == VerdictAccepted && !overtaken && c.Version() == before+1 && v.Version == c.Version():
				for _, ch := range e.Publish.Changes {
					changed[string(ch.Kind)+ch.Name] = c.Version()
				}
			case v.State == VerdictConflict && overtaken && c.Version() == before && v.Conflict.Version > e.Publish.Base:
			case v.State == VerdictInvalid && len(v.Faults) > 0 && c.Version() == before:
			default:
				t.Fatalf("overtaken %v, version %d to %d, verdict %+v", overtaken, before, c.Version(), v)
			}
		}
	})
}

// A publish under rules that this build lacks must stop the fold instead of making hosts disagree.
func TestLaterSchemaWaitsForSnapshot(t *testing.T) {
	is := is.New(t)
	c := &Config{}
	p := Publish{ID: "p"}
	p.Schema = 99
	c.Apply(logclient.Record{ID: "r", Data: encode([]ConfigEntry{{Publish: &p}})})
	is.True(!c.Complete() && c.Unsupported() == 99 && c.Next() == 1)
	is.True(c.Restore(ConfigSnapshot{Position: Position{Next: 1}, Version: 7}))
	is.True(c.Complete() && c.Unsupported() == 0 && c.Version() == 7)
	is.True(!c.Restore(ConfigSnapshot{Position: Position{Next: 5}, Version: 6})) // never back
}

// Deleted names must not pile up, and forgetting them must not hide a change from a publish with an old base.
func TestForgottenDeletionsConflict(t *testing.T) {
	is := is.New(t)
	var h history
	for i := range model.Version(2 * maxDeletions) {
		h.note(LastChange{Kind: model.KindClass, Name: fmt.Sprint(i), Version: i + 1, Deleted: true})
	}
	is.True(len(h.last) <= maxDeletions && h.deletions == len(h.last))
	for _, h := range []history{h, newHistory(h.floor, h.list())} {
		_, changed := h.at(h.floor-1).Changed(model.KindClass, "0")
		is.True(changed)
		_, changed = h.at(h.floor).Changed(model.KindClass, "0")
		is.True(!changed)
		_, changed = h.at(h.floor).Changed(model.KindClass, fmt.Sprint(2*maxDeletions-1))
		is.True(changed)
	}
}
