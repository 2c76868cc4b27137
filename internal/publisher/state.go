package publisher

import (
	"fmt"
	"maps"

	"chestnutmux.example/chestnutmux/pkg/model"
	"chestnutmux.example/chestnutmux/pkg/validator"
)

// Snapshot is the configuration in force; it does not change once shared.
type Snapshot struct {
	Version model.ConfigVersion `json:"version"`
	Set     model.ConfigSet     `json:"set"`
	// Publish is the id of the publish that made the version, by which its author finds it after a lost answer.
	Publish string              `json:"publish"`
	Floor   model.ConfigVersion `json:"floor,omitempty"` // deletions up to this version are no longer listed
	History []LastChange        `json:"history,omitempty"`
}

// judge returns the state after a publish, or the typed error of its refusal.
func (s *Snapshot) judge(id string, p model.PublishRequest) (*Snapshot, *model.Error) {
	faults := s.header(p)
	objects, more := parse(p.Changes)
	if len(faults) > 0 {
		return nil, invalid(faults)
	}
	h := newHistory(s.Floor, s.History)
	if earlier, ok := h.at(p.BaseVersion).overtaken(objects); ok {
		return nil, s.conflict(p.BaseVersion, earlier)
	}
	faults = append(faults, more...)
	set := clone(s.Set)
	for _, o := range objects {
		if !o.apply(&set) {
			faults = append(faults, model.ConfigFault{
				Kind: o.kind, Name: o.name, Field: "name",
				Message: "the object to delete does not exist", Remedy: "leave the deletion out",
			})
		}
	}
	if faults = append(faults, validator.Validate(set)...); len(faults) > 0 {
		return nil, invalid(faults)
	}
	next := &Snapshot{Version: s.Version + 1, Set: set, Publish: id}
	for _, ch := range p.Changes {
		h.note(LastChange{Kind: ch.Kind, Name: ch.Name, Version: next.Version, Author: p.Author, Deleted: deleted(ch)})
	}
	next.Floor, next.History = h.floor, h.list()
	return next, nil
}

// header returns the faults of a publish apart from its changes.
func (s *Snapshot) header(p model.PublishRequest) []model.ConfigFault {
	var faults []model.ConfigFault
	fault := func(field, message, remedy string) {
		faults = append(faults, model.ConfigFault{Field: field, Message: message, Remedy: remedy})
	}
	if p.SchemaVersion < 1 || p.SchemaVersion > validator.SchemaVersion {
		fault("schema", fmt.Sprintf("the schema %d is not supported", p.SchemaVersion), fmt.Sprintf("publish with schema %d", validator.SchemaVersion))
	}
	if p.BaseVersion < 0 || p.BaseVersion > s.Version {
		fault("base", fmt.Sprintf("the base version %d does not exist", p.BaseVersion), fmt.Sprintf("read version %d and publish again", s.Version))
	}
	if len(p.Changes) == 0 {
		fault("changes", "the publish has no changes", "put or delete at least one object")
	}
	return faults
}

func invalid(faults []model.ConfigFault) *model.Error {
	return &model.Error{
		Outcome: model.OutcomeNotRun, Kind: model.ErrorKindInvalid, Message: fmt.Sprintf("the configuration has %d faults", len(faults)),
		Remedy: "correct them and publish again", Faults: faults,
	}
}

func (s *Snapshot) conflict(base model.ConfigVersion, c LastChange) *model.Error {
	return &model.Error{
		Outcome: model.OutcomeNotRun, Kind: model.ErrorKindConflict,
		Message: fmt.Sprintf("%s %s was changed by %s in version %d, after base version %d", c.Kind, c.Name, c.Author, c.Version, base),
		Remedy:  fmt.Sprintf("read version %d, apply the change again and publish", s.Version),
	}
}

// clone copies the maps of a set, so that the set in force stays unchanged for its readers.
func clone(s model.ConfigSet) model.ConfigSet {
	s.FailureDomains = maps.Clone(s.FailureDomains)
	s.Workspaces = maps.Clone(s.Workspaces)
	s.Classes = maps.Clone(s.Classes)
	s.Guarantees = maps.Clone(s.Guarantees)
	s.Services = maps.Clone(s.Services)
	s.Callers = maps.Clone(s.Callers)
	s.Operators = maps.Clone(s.Operators)
	return s
}
