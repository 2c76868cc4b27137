package checker

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"

	"chestnutmux.example/chestnutmux/pkg/model"
	"chestnutmux.example/chestnutmux/pkg/validator"
)

// HasSetMembers reports whether the members of a file are those of a configuration of named objects.
func HasSetMembers(members map[string]json.RawMessage) bool {
	for name, value := range members {
		switch name {
		case "failure-domains", "workspaces", "classes", "guarantees", "callers", "operators", "evacuations":
			return true
		case "services":
			if len(value) > 0 && value[0] == '{' {
				return true
			}
		}
	}
	return false
}

// setChecker collects the findings of a configuration of named objects.
type setChecker struct {
	report
	model.ConfigSet
	options Options
}

// CheckSet returns the findings of a configuration of named objects, sorted by kind, name and field. What the validator refuses is an error, and
// so is what a publish accepts although it has no effect.
func CheckSet(set model.ConfigSet, o Options) []Finding {
	c := &setChecker{ConfigSet: set, options: o}
	for _, f := range validator.Validate(set) {
		c.addError(Place{Kind: f.Kind, Name: f.Name, Field: f.Field}, f.Remedy, "%s", f.Message)
	}
	c.checkWorkspaces()
	c.checkGuarantees()
	c.checkServices()
	c.checkEvacuations()
	slices.SortStableFunc(c.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Field, b.Field))
	})
	return c.findings
}

// checkWorkspaces adds warnings for workspaces that nobody can use.
func (c *setChecker) checkWorkspaces() {
	hasCaller := map[model.WorkspaceID]bool{}
	for _, caller := range c.Callers {
		hasCaller[caller.Workspace] = true
	}
	for _, id := range slices.Sorted(maps.Keys(c.Workspaces)) {
		place := Place{Kind: model.ObjectKindWorkspace, Name: string(id)}
		if !hasCaller[id] {
			c.addWarning(place, "declare a caller of the workspace, or remove it", "it has no callers, so that nobody can use it")
		}
		if c.Workspaces[id].Quota == 0 {
			place.Field = "quota"
			c.addWarning(place, "set a quota", "the quota is 0, so that no job with accelerators can run")
		}
	}
}

// checkGuarantees adds errors for guarantees that have no effect or exceed the fleet. A guarantee counts for jobs of urgent classes only. The
// validator compares the guarantees with the declared workers, rack by rack.
func (c *setChecker) checkGuarantees() {
	hasUrgentClass, total := false, int64(0)
	for _, cl := range c.Classes {
		hasUrgentClass = hasUrgentClass || cl.Urgency == model.UrgencyUrgent
	}
	for _, id := range slices.Sorted(maps.Keys(c.Guarantees)) {
		g, place := c.Guarantees[id], Place{Kind: model.ObjectKindGuarantee, Name: string(id)}
		total += product(int64(g.CellSize), int64(g.CellCount))
		if !hasUrgentClass {
			place.Field = "workspace"
			c.addError(place, "declare a class with the urgency urgent, or remove the guarantee", "it counts for jobs of urgent classes only, and there is none")
		}
		if c.FailureDomains[g.FailureDomain].State == model.DomainLost {
			place.Field = "failure-domain"
			c.addWarning(place, "guarantee accelerators of another failure domain until it is back", "the failure domain %s is lost", g.FailureDomain)
		}
	}
	c.checkFleet(Place{Kind: model.ObjectKindGuarantee, Field: "count"}, total, c.options.Accelerators)
}

// product returns the product of two numbers of which each is limited to a range in which no sum overflows.
func product(a, b int64) int64 {
	const highest = 1 << 20
	return min(max(a, 0), highest) * min(max(b, 0), highest)
}

func (c *setChecker) checkServices() {
	for _, id := range slices.Sorted(maps.Keys(c.Services)) {
		if limit := int64(c.Services[id].MaxBodyBytes); limit > 0 {
			c.checkBodyLimit(Place{Kind: model.ObjectKindService, Name: string(id), Field: "max-body"}, limit, c.options)
		}
	}
}

// checkEvacuations adds a warning for an evacuation of a failure domain that is not declared, although others are. It is valid, since workers of
// an undeclared domain can be listed, but a misspelt name evacuates nothing.
func (c *setChecker) checkEvacuations() {
	for _, id := range slices.Sorted(maps.Keys(c.Evacuations)) {
		if _, ok := c.FailureDomains[id]; !ok && len(c.FailureDomains) > 0 {
			c.addWarning(Place{Kind: model.ObjectKindEvacuation, Name: string(id)}, "check the name", "no failure domain of this name is declared")
		}
	}
}
