package checker

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// newSoundSet returns a configuration without findings.
func newSoundSet() model.ConfigSet {
	return model.ConfigSet{
		FailureDomains: map[model.DomainID]model.FailureDomain{"d": {Region: "r", Racks: map[model.RackID]model.Rack{"k": {Workers: 2, Accelerators: 8, Cores: 1, MemoryMB: 1}}}},
		Workspaces:     map[model.WorkspaceID]model.Workspace{"w": {Quota: 16}},
		Classes:        map[model.ClassID]model.Class{"c": {Urgency: model.UrgencyUrgent}},
		Guarantees:     map[model.GuaranteeID]model.Guarantee{"g": {Workspace: "w", FailureDomain: "d", CellSize: 8, CellCount: 2}},
		Services:       map[model.ServiceID]model.Service{"s": {Workspaces: []model.WorkspaceID{"w"}, Classes: []model.ClassID{"c"}, SlotsPerRunner: 1, ConnectionsPerRunner: 1, MaxBodyBytes: 9000}},
		Callers:        map[model.CallerID]model.Caller{"u": {Workspace: "w", TokenSHA256: strings.Repeat("a", 64)}},
		Evacuations:    map[model.DomainID]model.Evacuation{"d": {}},
	}
}

// Guards against findings that are missed, false alarms, and findings of the validator that get lost.
func TestCheckSet(t *testing.T) {
	for name, c := range map[string]struct {
		change  func(s *model.ConfigSet)
		options Options
		want    []string
	}{
		"sound": {func(*model.ConfigSet) {}, Options{LargestBody: 9000, LargestSureBody: 9000}, []string{}},
		"unknown workspace": {func(s *model.ConfigSet) {
			s.Callers["v"] = model.Caller{Workspace: "x", TokenSHA256: strings.Repeat("b", 64)}
		}, Options{}, []string{"error caller v: workspace"}},
		"unknown class": {func(s *model.ConfigSet) { s.Services["s"].Classes[0] = "x" }, Options{}, []string{"error service s: classes"}},
		"unknown domain": {func(s *model.ConfigSet) {
			s.Guarantees["g"] = model.Guarantee{Workspace: "w", FailureDomain: "x", CellSize: 8, CellCount: 1}
		}, Options{}, []string{"error guarantee g: failure-domain"}},
		"no callers":            {func(s *model.ConfigSet) { s.Callers = nil }, Options{}, []string{"warning workspace w"}},
		"no quota":              {func(s *model.ConfigSet) { s.Workspaces["w"], s.Guarantees = model.Workspace{}, nil }, Options{}, []string{"warning workspace w: quota"}},
		"no urgent class":       {func(s *model.ConfigSet) { s.Classes["c"] = model.Class{Urgency: model.UrgencyBatch} }, Options{}, []string{"error guarantee g: workspace"}},
		"smaller fleet":         {func(*model.ConfigSet) {}, Options{Accelerators: 15}, []string{"error guarantee: count"}},
		"fleet as declared":     {func(*model.ConfigSet) {}, Options{Accelerators: 16}, []string{}},
		"unknown evacuation":    {func(s *model.ConfigSet) { s.Evacuations["x"] = model.Evacuation{} }, Options{}, []string{"warning evacuation x"}},
		"large bodies":          {func(*model.ConfigSet) {}, Options{LargestBody: 8999}, []string{"error service s: max-body"}},
		"bodies on a full host": {func(*model.ConfigSet) {}, Options{LargestSureBody: 8999}, []string{"warning service s: max-body"}},
		"lost domain": {func(s *model.ConfigSet) {
			d := s.FailureDomains["d"]
			d.State = model.DomainLost
			s.FailureDomains["d"] = d
		}, Options{}, []string{"warning guarantee g: failure-domain"}},
		"guarantees over the declared fleet": {func(s *model.ConfigSet) {
			s.Workspaces["w"], s.Guarantees["h"] = model.Workspace{Quota: 24}, model.Guarantee{Workspace: "w", FailureDomain: "d", CellSize: 8, CellCount: 1}
		}, Options{}, []string{"error guarantee g: count", "error guarantee h: count"}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSoundSet()
			c.change(&s)
			is.New(t).Equal(summarize(t, CheckSet(s, c.options)), c.want)
		})
	}
}

// Guards against tokens or whole digests in differences, also if a token was given in place of its digest.
func TestWithoutSecrets(t *testing.T) {
	is := is.New(t)
	set := newSoundSet()
	set.Operators = map[model.OperatorID]model.Operator{"o": {TokenSHA256: "token-in-plain-text"}}
	shown := WithoutSecrets(set)
	is.Equal(shown.Callers["u"].TokenSHA256, "1 key aaaaaaaa")
	is.Equal(shown.Operators["o"].TokenSHA256, "1 key "+KeyDigest("token-in-plain-text"))
	is.Equal(set.Callers["u"].TokenSHA256, strings.Repeat("a", 64)) // the original is unchanged
	is.Equal(FormatKeys([]string{"k"}), "1 key "+KeyDigest("k"))
}
