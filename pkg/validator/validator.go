package validator

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// SchemaVersion numbers the rules of Check; a publish names the rules that its verdict follows.
const SchemaVersion = 1

// The bounds of sizes. They lie well above the design size and keep all sums within 64 bits.
const (
	maxName         = 63 // the length of a DNS label
	maxRackWorkers  = 1 << 16
	maxAccelerators = 1 << 10 // per worker
	maxCores        = 1 << 16
	maxMemoryMB     = 1 << 30
	maxWeight       = 1 << 20
	maxQuota        = 1 << 30
	maxWaiting      = 1 << 30
	maxCount        = 1 << 24
	maxSlots        = 1 << 20
	maxBody         = 1 << 32
)

// digestLen is the length of a SHA-256 digest in hex digits.
const digestLen = 64

// Validate returns all faults of the set in the order of kind, name and field; none means that the set is valid.
func Validate(set model.ConfigSet) []model.ConfigFault {
	c := &checker{set: set}
	c.domains()
	c.workspaces()
	c.classes()
	c.guarantees()
	c.services()
	c.tokens()
	slices.SortStableFunc(c.faults, func(a, b model.ConfigFault) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Field, b.Field))
	})
	return c.faults
}

type checker struct {
	set    model.ConfigSet
	faults []model.ConfigFault
}

func (c *checker) fault(kind model.ObjectKind, name, field, remedy, format string, args ...any) {
	c.faults = append(c.faults, model.ConfigFault{
		Kind: kind, Name: name, Field: field, Message: fmt.Sprintf(format, args...), Remedy: remedy,
	})
}

// name checks the name of an object or of a part of it.
func (c *checker) name(kind model.ObjectKind, object, field, name string) {
	if !kebab(name) {
		c.fault(kind, object, field, fmt.Sprintf("use at most %d lower-case letters, digits and single hyphens, starting with a letter", maxName),
			"the name %q is not in kebab-case", name)
	}
}

// between checks that a number lies within bounds.
func (c *checker) between(kind model.ObjectKind, name, field string, v, low, high int64) {
	if v < low || v > high {
		c.fault(kind, name, field, fmt.Sprintf("use a number from %d to %d", low, high), "%d is out of bounds", v)
	}
}

func (c *checker) domains() {
	for _, id := range sorted(c.set.FailureDomains) {
		d, kind, name := c.set.FailureDomains[id], model.ObjectKindFailureDomain, string(id)
		c.name(kind, name, "name", name)
		c.name(kind, name, "region", string(d.Region))
		switch d.State {
		case "", model.DomainActive, model.DomainLost:
		default:
			c.fault(kind, name, "state", "use active or lost, or leave it out", "the state %q is unknown", d.State)
		}
		if len(d.Racks) == 0 {
			c.fault(kind, name, "racks", "declare at least one rack, or delete the failure domain", "the failure domain has no racks")
		}
		for _, rid := range sorted(d.Racks) {
			r, field := d.Racks[rid], "racks."+string(rid)
			c.name(kind, name, field, string(rid))
			if r.Workers == 0 {
				c.fault(kind, name, field+".workers", "declare the workers of the rack, or remove the rack", "the rack is empty")
			} else {
				c.between(kind, name, field+".workers", int64(r.Workers), 1, maxRackWorkers)
			}
			c.between(kind, name, field+".accelerators", int64(r.Accelerators), 0, maxAccelerators)
			c.between(kind, name, field+".cores", int64(r.Cores), 1, maxCores)
			c.between(kind, name, field+".memory-mb", int64(r.MemoryMB), 1, maxMemoryMB)
		}
	}
}

func (c *checker) workspaces() {
	guaranteed := map[model.WorkspaceID]int64{}
	for _, g := range c.set.Guarantees {
		if g.CellSize > 0 && g.CellCount > 0 && g.CellSize <= maxCell && g.CellCount <= maxCount {
			guaranteed[g.Workspace] += int64(g.CellSize) * int64(g.CellCount)
		}
	}
	for _, id := range sorted(c.set.Workspaces) {
		w, kind, name := c.set.Workspaces[id], model.ObjectKindWorkspace, string(id)
		c.name(kind, name, "name", name)
		c.between(kind, name, "weight", int64(w.Weight), 0, maxWeight)
		c.between(kind, name, "quota", int64(w.Quota), 0, maxQuota)
		c.between(kind, name, "max-waiting", int64(w.MaxWaitingJobs), 0, maxWaiting)
		if n := guaranteed[id]; n > int64(w.Quota) {
			c.fault(kind, name, "quota", fmt.Sprintf("raise the quota to at least %d or lower the guarantees", n),
				"the quota of %d is below the %d accelerators guaranteed", w.Quota, n)
		}
	}
}

func (c *checker) classes() {
	for _, id := range sorted(c.set.Classes) {
		cl, kind, name := c.set.Classes[id], model.ObjectKindClass, string(id)
		c.name(kind, name, "name", name)
		switch cl.Urgency {
		case model.UrgencyUrgent, model.UrgencyStandard, model.UrgencyBatch:
		default:
			c.fault(kind, name, "urgency", "use urgent, standard or batch", "the urgency %q is unknown", cl.Urgency)
		}
		c.between(kind, name, "max-waiting", int64(cl.MaxWaitingJobs), 0, maxWaiting)
	}
}

func (c *checker) guarantees() {
	demands := map[model.DomainID]demand{}
	for _, id := range sorted(c.set.Guarantees) {
		g, kind, name := c.set.Guarantees[id], model.ObjectKindGuarantee, string(id)
		c.name(kind, name, "name", name)
		reference(c, c.set.Workspaces, g.Workspace, kind, name, "workspace")
		reference(c, c.set.FailureDomains, g.FailureDomain, kind, name, "failure-domain")
		c.between(kind, name, "count", int64(g.CellCount), 1, maxCount)
		if g.CellSize < 1 || g.CellSize > maxCell || g.CellSize&(g.CellSize-1) != 0 {
			c.fault(kind, name, "cell", fmt.Sprintf("use a power of two of at most %d", maxCell), "the cell size %d is not a power of two", g.CellSize)
			continue
		}
		if g.CellCount < 1 || g.CellCount > maxCount {
			continue
		}
		if demands[g.FailureDomain] == nil {
			demands[g.FailureDomain] = demand{}
		}
		demands[g.FailureDomain][g.CellSize] += g.CellCount
	}
	for _, id := range sorted(demands) {
		d, ok := c.set.FailureDomains[id]
		if !ok || !packable(d) {
			continue
		}
		// A cell that exceeds the domain's blocks is the fault of each guarantee that asks for it.
		for _, s := range pack(d, demands[id]) {
			for _, gid := range sorted(c.set.Guarantees) {
				if g := c.set.Guarantees[gid]; g.FailureDomain == id && g.CellSize == s.cell && g.CellCount > 0 {
					c.fault(model.ObjectKindGuarantee, string(gid), "count", "lower the guarantees of this failure domain or declare more racks",
						"%d of the %d cells of %d accelerators guaranteed in failure domain %s do not fit its racks", s.missing, s.wanted, s.cell, id)
				}
			}
		}
	}
}

func (c *checker) services() {
	for _, id := range sorted(c.set.Services) {
		s, kind, name := c.set.Services[id], model.ObjectKindService, string(id)
		c.name(kind, name, "name", name)
		if len(s.Classes) == 0 {
			c.fault(kind, name, "classes", "name at least one class; the first is the default", "the service has no classes")
		}
		references(c, c.set.Classes, s.Classes, kind, name, "classes")
		if len(s.Workspaces) == 0 {
			c.fault(kind, name, "workspaces", "name the workspaces that may call it", "no workspace may call the service")
		}
		references(c, c.set.Workspaces, s.Workspaces, kind, name, "workspaces")
		c.between(kind, name, "slots", int64(s.SlotsPerRunner), 1, maxSlots)
		c.between(kind, name, "connections", int64(s.ConnectionsPerRunner), 1, maxSlots)
		c.between(kind, name, "max-body", int64(s.MaxBody), 0, maxBody)
	}
}

// tokens checks callers and operators, whose digests share one name space: a token stands for one of them.
func (c *checker) tokens() {
	owner := map[string]string{}
	digest := func(kind model.ObjectKind, name, d string) {
		if !hexDigest(d) {
			c.fault(kind, name, "token-sha256", fmt.Sprintf("use the %d lower-case hex digits of the token's SHA-256 digest", digestLen), "the digest is malformed")
			return
		}
		this := fmt.Sprintf("%s %s", kind, name)
		if other, ok := owner[d]; ok {
			c.fault(kind, name, "token-sha256", "issue a token of its own", "the token is also that of %s", other)
			return
		}
		owner[d] = this
	}
	for _, id := range sorted(c.set.Operators) {
		c.name(model.ObjectKindOperator, string(id), "name", string(id))
		digest(model.ObjectKindOperator, string(id), c.set.Operators[id].TokenSHA256)
	}
	for _, id := range sorted(c.set.Callers) {
		c.name(model.ObjectKindCaller, string(id), "name", string(id))
		reference(c, c.set.Workspaces, c.set.Callers[id].Workspace, model.ObjectKindCaller, string(id), "workspace")
		digest(model.ObjectKindCaller, string(id), c.set.Callers[id].TokenSHA256)
	}
}

// reference checks that a named object exists.
func reference[K ~string, V any](c *checker, m map[K]V, ref K, kind model.ObjectKind, name, field string) {
	if _, ok := m[ref]; !ok {
		c.fault(kind, name, field, fmt.Sprintf("declare the %s or name an existing one", singular(field)), "%q does not exist", ref)
	}
}

// references checks that the named objects exist and are named once.
func references[K ~string, V any](c *checker, m map[K]V, refs []K, kind model.ObjectKind, name, field string) {
	seen := map[K]bool{}
	for _, ref := range refs {
		if seen[ref] {
			c.fault(kind, name, field, "name it once", "%q is named twice", ref)
			continue
		}
		seen[ref] = true
		reference(c, m, ref, kind, name, field)
	}
}

func singular(field string) string {
	switch field {
	case "classes":
		return "class"
	case "workspaces":
		return "workspace"
	}
	return field
}

func sorted[K ~string, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// kebab reports whether s is in kebab-case: lower-case letters and digits in parts joined by single hyphens.
func kebab(s string) bool {
	if len(s) == 0 || len(s) > maxName || s[0] < 'a' || s[0] > 'z' || s[len(s)-1] == '-' {
		return false
	}
	for i := range len(s) {
		ch := s[i]
		switch {
		case ch >= 'a' && ch <= 'z', ch >= '0' && ch <= '9':
		case ch == '-' && s[i-1] != '-':
		default:
			return false
		}
	}
	return true
}

func hexDigest(s string) bool {
	for i := range len(s) {
		if ch := s[i]; (ch < '0' || ch > '9') && (ch < 'a' || ch > 'f') {
			return false
		}
	}
	return len(s) == digestLen
}
