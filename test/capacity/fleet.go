package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"chestnutmux.example/chestnutmux/internal/fake/platform"
	"chestnutmux.example/chestnutmux/internal/settings"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	measured model.DomainID = "kartli-a"
	operator string         = "capacity-operator"
	// teams and regions are those of the design size.
	teams   = 120
	regions = 3

	rackWorkers  = 8
	accelerators = 8
	cores        = 256
	memoryMB     = 1 << 20
)

func others(args arguments) []model.DomainID {
	var ids []model.DomainID
	for i := range args.Domains {
		ids = append(ids, model.DomainID(fmt.Sprintf("domain-%02d", i+1)))
	}
	return ids
}

func region(i int) model.RegionID { return model.RegionID(fmt.Sprintf("region-%d", i%regions)) }

// racks splits workers into racks; the last one may be smaller.
func racks(workers int) map[model.RackID]model.Rack {
	out := map[model.RackID]model.Rack{}
	for i := 0; i < workers; i += rackWorkers {
		out[model.RackID(fmt.Sprintf("r%03d", i/rackWorkers))] = model.Rack{
			Workers: min(rackWorkers, workers-i), Accelerators: accelerators, Cores: cores, MemoryMB: memoryMB,
		}
	}
	return out
}

func deployment(args arguments) platform.Deployment {
	d := platform.Deployment{Log: platform.LogConfig{RetentionMS: 86_400_000, AppendsPerSecond: 400}}
	add := func(id model.DomainID, r model.RegionID, workers int) {
		dom := platform.Domain{ID: id, Region: r}
		for rack, x := range racks(workers) {
			dom.Racks = append(dom.Racks, platform.Rack{ID: rack, Rack: x})
		}
		d.Domains = append(d.Domains, dom)
	}
	add(measured, region(0), args.Workers)
	for i, id := range others(args) {
		add(id, region(i+1), args.Others)
	}
	return d
}

func entrySettings() settings.Settings {
	return settings.Settings{
		HostID: "set-by-launcher", FailureDomain: measured, Region: region(0),
		Listen: "127.0.0.1:1", PeerListen: "127.0.0.1:1", LogURL: "http://127.0.0.1:1", HostListURL: "http://127.0.0.1:1",
		PeerSecret: "capacity", OperatorToken: digest(operator), LogLevel: "warn",
	}
}

// configuration returns a set with the teams of the design size.
func configuration(args arguments) model.Set {
	s := model.Set{
		FailureDomains: map[model.DomainID]model.FailureDomain{measured: {Region: region(0), Racks: racks(args.Workers)}},
		Workspaces:     map[model.WorkspaceID]model.Workspace{},
		Classes: map[model.ClassID]model.Class{
			"urgent": {Urgency: model.UrgencyUrgent, MaxWaiting: 100_000}, "batch": {Urgency: model.UrgencyBatch, MaxWaiting: 100_000},
		},
		Callers:   map[model.CallerID]model.Caller{},
		Operators: map[model.OperatorID]model.Operator{"operator": {TokenSHA256: digest(operator)}},
	}
	for i, id := range others(args) {
		if r := racks(args.Others); len(r) > 0 {
			s.FailureDomains[id] = model.FailureDomain{Region: region(i + 1), Racks: r}
		}
	}
	for i := range teams {
		id := team(i)
		s.Workspaces[model.WorkspaceID(id)] = model.Workspace{Quota: 100_000, MaxWaiting: 100_000}
		s.Callers[model.CallerID(id)] = model.Caller{Workspace: model.WorkspaceID(id), TokenSHA256: digest(token(i))}
	}
	return s
}

func team(i int) string  { return fmt.Sprintf("team-%03d", i%teams) }
func token(i int) string { return "capacity-" + team(i) }

func digest(token string) string {
	h := sha256.Sum256([]byte(token))
	return hex.EncodeToString(h[:])
}
