package reducer

import (
	"fmt"
	"maps"

	"chestnutmux.example/chestnutmux/internal/logclient"
	"chestnutmux.example/chestnutmux/pkg/model"
	"chestnutmux.example/chestnutmux/pkg/validator"
)

// maxVerdicts bounds the verdicts kept: at the design size of 12,000 changes a day they reach back half an hour.
const maxVerdicts = 256

// VerdictState says what became of a publish.
type VerdictState string

// The verdicts on a publish.
const (
	VerdictAccepted VerdictState = "accepted"
	VerdictConflict VerdictState = "conflict"
	VerdictInvalid  VerdictState = "invalid"
)

// Verdict is the result of a publish record.
type Verdict struct {
	ID       string           `json:"id"` // of the publish
	State    VerdictState     `json:"state"`
	Version  model.Version    `json:"version"` // created by an accepted publish, else the one in force
	Author   model.OperatorID `json:"author"`
	Conflict *LastChange      `json:"conflict,omitempty"` // the earlier change that overtook a conflicting publish
	Faults   []model.Fault    `json:"faults,omitempty"`
}

// ConfigSnapshot is the state of the config fold.
type ConfigSnapshot struct {
	Position
	Version  model.Version `json:"version"`
	Set      model.Set     `json:"set"`
	Floor    model.Version `json:"floor,omitempty"` // deletions up to this version are no longer listed
	History  []LastChange  `json:"history,omitempty"`
	Verdicts []Verdict     `json:"verdicts,omitempty"`
}

// Config is the fold of the config stream; its zero value is ready for the first record.
type Config struct {
	tail
	version     model.Version
	set         model.Set
	history     history
	verdicts    map[string]Verdict
	order       []string // ids of verdicts, oldest first
	unsupported int
}

// Version returns the version in force, 0 when there is none.
func (c *Config) Version() model.Version { return c.version }

// Set returns the configuration in force; the caller must not change it.
func (c *Config) Set() model.Set { return c.set }

// Verdict returns the verdict on the publish with this id, if it is among the latest 256.
func (c *Config) Verdict(id string) (Verdict, bool) {
	v, ok := c.verdicts[id]
	return v, ok
}

// Unsupported returns the schema number of a publish that this build cannot judge, else 0. The fold then keeps the
// version in force and waits for a snapshot.
func (c *Config) Unsupported() int { return c.unsupported }

// Apply folds one record.
func (c *Config) Apply(rec logclient.Record) {
	if c.gap {
		c.hold(rec)
		entries, _ := decode(rec.Data, configFields)
		for _, e := range entries {
			if e.Snapshot != nil && e.Snapshot.Next <= rec.Offset && c.Restore(*e.Snapshot) {
				return
			}
		}
		return
	}
	if !c.admit(rec) {
		return
	}
	entries, malformed := decode(rec.Data, configFields)
	c.malformed += malformed
	for _, e := range entries {
		switch {
		case e.Snapshot != nil:
			c.snapshotSeen()
		case e.Publish != nil:
			if e.Publish.Schema > validator.Schema {
				c.unsupported = e.Publish.Schema
				c.gap, c.heldFrom = true, c.pos.Next
				return
			}
			c.publish(*e.Publish)
		}
	}
}

// publish judges a publish and applies it when it is accepted.
func (c *Config) publish(p Publish) {
	if _, ok := c.verdicts[p.ID]; ok {
		return // repeated after an append without an answer
	}
	v, set := c.judge(p)
	if v.State == VerdictAccepted {
		c.version, c.set = v.Version, set
		for _, ch := range p.Changes {
			c.history.note(LastChange{Kind: ch.Kind, Name: ch.Name, Version: v.Version, Author: p.Author, Deleted: deleted(ch)})
		}
	}
	if c.verdicts == nil {
		c.verdicts = map[string]Verdict{}
	}
	c.verdicts[p.ID] = v
	if c.order = append(c.order, p.ID); len(c.order) > maxVerdicts {
		delete(c.verdicts, c.order[0])
		c.order = c.order[1:]
	}
}

// Judge returns the verdict that the publish would get now; the publisher's host asks before it appends.
func (c *Config) Judge(p Publish) Verdict {
	v, _ := c.judge(p)
	return v
}

func (c *Config) judge(p Publish) (Verdict, model.Set) {
	v := Verdict{ID: p.ID, State: VerdictInvalid, Version: c.version, Author: p.Author}
	if v.Faults = c.header(p); len(v.Faults) > 0 {
		return v, c.set
	}
	objects, faults := parse(p.Changes)
	if earlier, ok := c.history.at(p.Base).overtaken(objects); ok {
		v.State, v.Conflict = VerdictConflict, &earlier
		return v, c.set
	}
	set := clone(c.set)
	for _, o := range objects {
		if !o.apply(&set) {
			faults = append(faults, model.Fault{
				Kind: o.kind, Name: o.name, Field: "name",
				Message: "the object to delete does not exist", Remedy: "leave the deletion out",
			})
		}
	}
	if v.Faults = append(faults, validator.Check(set)...); len(v.Faults) > 0 {
		return v, c.set
	}
	v.State, v.Version = VerdictAccepted, c.version+1
	return v, set
}

// header returns the faults of a publish apart from its changes.
func (c *Config) header(p Publish) []model.Fault {
	var faults []model.Fault
	fault := func(field, message, remedy string) {
		faults = append(faults, model.Fault{Field: field, Message: message, Remedy: remedy})
	}
	if p.ID == "" {
		fault("id", "the publish has no id", "choose an id that no other publish uses")
	}
	if p.Schema < 1 || p.Schema > validator.Schema {
		fault("schema", fmt.Sprintf("the schema %d is not supported", p.Schema), fmt.Sprintf("publish with schema %d", validator.Schema))
	}
	if p.Base < 0 || p.Base > c.version {
		fault("base", fmt.Sprintf("the base version %d does not exist", p.Base), fmt.Sprintf("read version %d and publish again", c.version))
	}
	if len(p.Changes) == 0 {
		fault("changes", "the publish has no changes", "put or delete at least one object")
	}
	return faults
}

// Snapshot returns the state for another fold to start from.
func (c *Config) Snapshot() ConfigSnapshot {
	s := ConfigSnapshot{
		Position: c.pos.clone(), Version: c.version, Set: c.set,
		Floor: c.history.floor, History: c.history.list(),
	}
	for _, id := range c.order {
		s.Verdicts = append(s.Verdicts, c.verdicts[id])
	}
	return s
}

// Restore replaces the state by a snapshot that covers more records and reports whether it did; a version lower than
// the one in force is never taken over. Held records that the snapshot does not cover are applied.
func (c *Config) Restore(s ConfigSnapshot) bool {
	if s.Version < c.version || !c.closes(s.Position) {
		return false
	}
	held := c.restore(s.Position)
	c.version, c.set, c.unsupported = s.Version, s.Set, 0
	c.history = newHistory(s.Floor, s.History)
	c.verdicts, c.order = make(map[string]Verdict, len(s.Verdicts)), nil
	for _, v := range s.Verdicts {
		c.verdicts[v.ID] = v
		c.order = append(c.order, v.ID)
	}
	for _, rec := range held {
		c.Apply(rec)
	}
	return true
}

// clone copies the maps of a set, so that the set in force stays unchanged for its readers.
func clone(s model.Set) model.Set {
	s.FailureDomains = maps.Clone(s.FailureDomains)
	s.Workspaces = maps.Clone(s.Workspaces)
	s.Classes = maps.Clone(s.Classes)
	s.Guarantees = maps.Clone(s.Guarantees)
	s.Services = maps.Clone(s.Services)
	s.Callers = maps.Clone(s.Callers)
	s.Operators = maps.Clone(s.Operators)
	return s
}

// At returns the changes made after a base version.
func (c *Config) At(base model.Version) View { return c.history.at(base) }
