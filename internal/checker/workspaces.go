package checker

import (
	"fmt"
	"strings"
)

// ObjectName returns the name of an object in a list, or its number if it has no name.
func ObjectName(name string, index int) string {
	if name == "" {
		return fmt.Sprintf("#%d", index+1)
	}
	return name
}

// checkServices compares the services with those that routes name. A file without a list of services says nothing about them.
func (c *routingChecker) checkServices() {
	if !c.HasServices {
		return
	}
	if !c.AreListed {
		c.addError(Place{Kind: KindService}, "list the services", "the services are no list, and hosts ignore them")
		return
	}
	declared, named := map[string]int{}, map[string]bool{}
	for i, s := range c.Services {
		c.checkName(KindService, s.Name, i, declared)
		for _, field := range s.InvalidFields {
			c.addError(Place{Kind: KindService, Name: ObjectName(s.Name, i), Field: field}, "use a number of at least 0", "its value is no number of at least 0, and hosts ignore it")
		}
	}
	for i, r := range c.Routes {
		service := string(r.Queue.Service)
		named[service] = true
		if _, ok := declared[service]; !ok && service != "" {
			c.addError(c.routePlaces(i)(FieldService), "declare the service or name a declared one", "the service %q does not exist", service)
		}
	}
	for i, s := range c.Services {
		if s.Name != "" && !named[s.Name] && declared[s.Name] == i {
			c.addWarning(Place{Kind: KindService, Name: s.Name}, "remove it, or name it in a route", "no route names the service")
		}
	}
}

// checkWorkspaces checks the names and keys of workspaces. A key identifies a single workspace; hosts take the last one that has it.
func (c *routingChecker) checkWorkspaces() {
	seen, owners := map[string]int{}, map[string]int{}
	for i, w := range c.Workspaces {
		c.checkName(KindWorkspace, w.Name, i, seen)
		place := Place{Kind: KindWorkspace, Name: ObjectName(w.Name, i), Field: FieldKeys}
		if len(w.Keys) == 0 {
			c.addWarning(place, "issue a key, or remove the entry", "it has no keys, so that nobody can use it")
		}
		for _, key := range w.Keys {
			first, ok := owners[key]
			switch {
			case !fitsHeader(key):
				c.addError(place, "issue a key without blanks at its end and without control characters",
					"no header of a call can carry the key with the digest %s", KeyDigest(key))
			case ok && first == i:
				c.addWarning(place, "name it once", "the key with the digest %s is named twice", KeyDigest(key))
			case ok:
				c.addError(place, "issue a key of its own to each", "the key with the digest %s is also that of %s, and the last one that names it gets all its calls",
					KeyDigest(key), ObjectName(c.Workspaces[first].Name, first))
			default:
				owners[key] = i
			}
		}
	}
}

// fitsHeader reports whether the header of a call can carry a key. Blanks at the end of a header do not count.
func fitsHeader(key string) bool {
	isControl := func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }
	return key != "" && strings.TrimRight(key, " \t") == key && !strings.ContainsFunc(key, isControl)
}

// checkGuarantees checks guarantees against the routes and the fleet. A guarantee counts for jobs of priority 0 only.
func (c *routingChecker) checkGuarantees() {
	hasUrgentRoute, total := false, int64(0)
	for i := range c.Routes {
		hasUrgentRoute = hasUrgentRoute || c.Routes[i].Queue.Priority <= 0
	}
	for i, w := range c.Workspaces {
		place := Place{Kind: KindWorkspace, Name: ObjectName(w.Name, i), Field: FieldGuarantee}
		c.checkRange(place, w.Guaranteed, 0, maxAccelerators)
		if w.Guaranteed > 0 && !hasUrgentRoute {
			c.addError(place, "add a route of priority 0, or remove the guarantee", "it counts for jobs of priority 0 only, and no route has this priority")
		}
		total += min(max(w.Guaranteed, 0), maxAccelerators)
	}
	c.checkFleet(Place{Kind: KindWorkspace, Field: FieldGuarantee}, total, c.options.Accelerators)
}

// checkFleet adds an error if all guarantees together exceed the accelerators of the fleet, if these are known.
func (r *report) checkFleet(p Place, guaranteed, accelerators int64) {
	if accelerators > 0 && guaranteed > accelerators {
		r.addError(p, "lower the guarantees or enlarge the fleet", "%d accelerators are guaranteed, and the fleet has %d", guaranteed, accelerators)
	}
}

func (c *routingChecker) checkLimits() {
	place := Place{Kind: KindLimits, Field: FieldMaxBody}
	if c.MaxBody < 0 {
		c.addError(place, "use a number of at least 0, which selects the default", "%d is out of bounds, and hosts use the default of %d", c.MaxBody, c.DefaultBody)
		return
	}
	limit := c.MaxBody
	if limit == 0 {
		limit = c.DefaultBody
	}
	if limit < minSpecBytes {
		c.addError(place, fmt.Sprintf("allow at least %d bytes", minSpecBytes),
			"bodies have at most %d bytes, but a job may have %d bytes of specification", limit, minSpecBytes)
	}
	c.checkBodyLimit(place, limit, c.options)
}
