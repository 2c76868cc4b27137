package publisher

import (
	"fmt"
	"maps"

	"chestnutmux.example/chestnutmux/pkg/model"
	"chestnutmux.example/chestnutmux/pkg/validator"
)

// StoredConfig is one version of the configuration as stored in the log. It must not change once it is shared.
type StoredConfig struct {
	Version model.ConfigVersion `json:"version"`
	Set     model.ConfigSet     `json:"set"`
	// PublishID identifies the publish that created the version. If a publish got no response to its append, this id shows
	// whether the append succeeded.
	PublishID     string              `json:"publish"`
	PrunedThrough model.ConfigVersion `json:"floor,omitempty"`   // deletions up to and including this version may be missing from History
	History       []LastChange        `json:"history,omitempty"` // last change of each object, ordered by version
}

// applyPublish returns the next version of the configuration, or the error with which the publish is refused. The id becomes
// the PublishID of the next version.
func (s *StoredConfig) applyPublish(id string, p model.PublishRequest) (*StoredConfig, *model.Error) {
	faults := s.checkRequest(p)
	changes, changeFaults := parseChanges(p.Changes)
	if len(faults) > 0 {
		return nil, invalidError(faults)
	}
	h := newHistory(s.PrunedThrough, s.History)
	if conflicting, ok := h.since(p.BaseVersion).firstConflict(changes); ok {
		return nil, s.conflictError(p.BaseVersion, conflicting)
	}
	faults = append(faults, changeFaults...)
	set := cloneSet(s.Set)
	for _, change := range changes {
		if !change.apply(&set) {
			faults = append(faults, model.ConfigFault{
				Kind: change.kind, Name: change.name, Field: "name",
				Message: "the object to delete does not exist", Remedy: "leave the deletion out",
			})
		}
	}
	if faults = append(faults, validator.Validate(set)...); len(faults) > 0 {
		return nil, invalidError(faults)
	}
	next := &StoredConfig{Version: s.Version + 1, Set: set, PublishID: id}
	for _, ch := range p.Changes {
		h.record(LastChange{Kind: ch.Kind, Name: ch.Name, Version: next.Version, Author: p.Author, Deleted: isDeletion(ch)})
	}
	next.PrunedThrough, next.History = h.prunedThrough, h.list()
	return next, nil
}

// checkRequest returns the faults in the schema version, the base version and the number of changes of a publish.
func (s *StoredConfig) checkRequest(p model.PublishRequest) []model.ConfigFault {
	var faults []model.ConfigFault
	addFault := func(field, message, remedy string) {
		faults = append(faults, model.ConfigFault{Field: field, Message: message, Remedy: remedy})
	}
	if p.SchemaVersion < 1 || p.SchemaVersion > validator.SchemaVersion {
		addFault("schema", fmt.Sprintf("the schema %d is not supported", p.SchemaVersion), fmt.Sprintf("publish with schema %d", validator.SchemaVersion))
	}
	if p.BaseVersion < 0 || p.BaseVersion > s.Version {
		addFault("base", fmt.Sprintf("the base version %d does not exist", p.BaseVersion), fmt.Sprintf("read version %d and publish again", s.Version))
	}
	if len(p.Changes) == 0 {
		addFault("changes", "the publish has no changes", "put or delete at least one object")
	}
	return faults
}

func invalidError(faults []model.ConfigFault) *model.Error {
	return &model.Error{
		Outcome: model.OutcomeNotRun, Kind: model.ErrorKindInvalid, Message: fmt.Sprintf("the configuration has %d faults", len(faults)),
		Remedy: "correct them and publish again", Faults: faults,
	}
}

func (s *StoredConfig) conflictError(base model.ConfigVersion, c LastChange) *model.Error {
	return &model.Error{
		Outcome: model.OutcomeNotRun, Kind: model.ErrorKindConflict,
		Message: fmt.Sprintf("%s %s was changed by %s in version %d, after base version %d", c.Kind, c.Name, c.Author, c.Version, base),
		Remedy:  fmt.Sprintf("read version %d, apply the change again and publish", s.Version),
	}
}

// cloneSet copies the maps of a set, so that changes to the copy do not affect the current configuration.
func cloneSet(s model.ConfigSet) model.ConfigSet {
	s.FailureDomains = maps.Clone(s.FailureDomains)
	s.Workspaces = maps.Clone(s.Workspaces)
	s.Classes = maps.Clone(s.Classes)
	s.Guarantees = maps.Clone(s.Guarantees)
	s.Services = maps.Clone(s.Services)
	s.Callers = maps.Clone(s.Callers)
	s.Operators = maps.Clone(s.Operators)
	s.Evacuations = maps.Clone(s.Evacuations)
	return s
}
