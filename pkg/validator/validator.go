package validator

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// SchemaVersion is the version of the rules of Validate. A publish request names the version that it was made for; an entry
// host refuses versions newer than its own.
const SchemaVersion = 1

// Upper limits of numbers and sizes. They are far above the needs of the largest planned deployment, which has about ten
// thousand hosts, and small enough that no sum of them overflows 64 bits.
const (
	maxNameLen      = 63      // maximum length of a DNS label
	maxRackWorkers  = 1 << 16 // workers per rack
	maxAccelerators = 1 << 10 // per worker
	maxCores        = 1 << 16 // per worker
	maxMemoryMB     = 1 << 30 // per worker
	maxWeight       = 1 << 20
	maxQuota        = 1 << 30 // accelerators
	maxQueuedJobs   = 1 << 30 // queued jobs per workspace or class
	maxCellCount    = 1 << 24 // cells per guarantee
	maxSlots        = 1 << 20 // slots or connections per runner
	maxBodyBytes    = 1 << 32
)

// digestLen is the length of a SHA-256 digest in hex digits.
const digestLen = 64

// Validate returns all faults of a configuration, sorted by kind, name and field; a valid configuration has none.
func Validate(set model.ConfigSet) []model.ConfigFault {
	c := &checker{set: set}
	c.checkFailureDomains()
	c.checkWorkspaces()
	c.checkClasses()
	c.checkGuarantees()
	c.checkServices()
	c.checkTokens()
	for _, id := range sortedKeys(set.Evacuations) {
		c.checkName(model.ObjectKindEvacuation, string(id), "name", string(id))
	}
	slices.SortStableFunc(c.faults, func(a, b model.ConfigFault) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Field, b.Field))
	})
	return c.faults
}

// checker collects the faults of a configuration.
type checker struct {
	set    model.ConfigSet
	faults []model.ConfigFault
}

// addFault adds a fault of a field of the named object; format and args make up its message.
func (c *checker) addFault(kind model.ObjectKind, name, field, remedy, format string, args ...any) {
	c.faults = append(c.faults, model.ConfigFault{
		Kind: kind, Name: name, Field: field, Message: fmt.Sprintf(format, args...), Remedy: remedy,
	})
}

// checkName checks that name, which is the name of the object or the value of one of its fields, is in kebab-case.
func (c *checker) checkName(kind model.ObjectKind, object, field, name string) {
	if !isKebabCase(name) {
		c.addFault(kind, object, field, fmt.Sprintf("use at most %d lower-case letters, digits and single hyphens, starting with a letter", maxNameLen),
			"the name %q is not in kebab-case", name)
	}
}

// checkRange checks that v is between low and high, both inclusive.
func (c *checker) checkRange(kind model.ObjectKind, name, field string, v, low, high int64) {
	if v < low || v > high {
		c.addFault(kind, name, field, fmt.Sprintf("use a number from %d to %d", low, high), "%d is out of bounds", v)
	}
}

func (c *checker) checkFailureDomains() {
	for _, id := range sortedKeys(c.set.FailureDomains) {
		d, kind, name := c.set.FailureDomains[id], model.ObjectKindFailureDomain, string(id)
		c.checkName(kind, name, "name", name)
		c.checkName(kind, name, "region", string(d.Region))
		switch d.State {
		case "", model.DomainActive, model.DomainLost:
		default:
			c.addFault(kind, name, "state", "use active or lost, or leave it out", "the state %q is unknown", d.State)
		}
		if len(d.Racks) == 0 {
			c.addFault(kind, name, "racks", "declare at least one rack, or delete the failure domain", "the failure domain has no racks")
		}
		for _, rackID := range sortedKeys(d.Racks) {
			rack, field := d.Racks[rackID], "racks."+string(rackID)
			c.checkName(kind, name, field, string(rackID))
			if rack.Workers == 0 {
				c.addFault(kind, name, field+".workers", "declare the workers of the rack, or remove the rack", "the rack is empty")
			} else {
				c.checkRange(kind, name, field+".workers", int64(rack.Workers), 1, maxRackWorkers)
			}
			c.checkRange(kind, name, field+".accelerators", int64(rack.Accelerators), 0, maxAccelerators)
			c.checkRange(kind, name, field+".cores", int64(rack.Cores), 1, maxCores)
			c.checkRange(kind, name, field+".memory-mb", int64(rack.MemoryMB), 1, maxMemoryMB)
		}
	}
}

func (c *checker) checkWorkspaces() {
	guaranteed := map[model.WorkspaceID]int64{}
	for _, g := range c.set.Guarantees {
		if g.CellSize > 0 && g.CellCount > 0 && g.CellSize <= maxCellSize && g.CellCount <= maxCellCount {
			guaranteed[g.Workspace] += int64(g.CellSize) * int64(g.CellCount)
		}
	}
	for _, id := range sortedKeys(c.set.Workspaces) {
		w, kind, name := c.set.Workspaces[id], model.ObjectKindWorkspace, string(id)
		c.checkName(kind, name, "name", name)
		c.checkRange(kind, name, "weight", int64(w.Weight), 0, maxWeight)
		c.checkRange(kind, name, "quota", int64(w.Quota), 0, maxQuota)
		c.checkRange(kind, name, "max-waiting", int64(w.MaxQueuedJobs), 0, maxQueuedJobs)
		if accelerators := guaranteed[id]; accelerators > int64(w.Quota) {
			c.addFault(kind, name, "quota", fmt.Sprintf("raise the quota to at least %d or lower the guarantees", accelerators),
				"the quota of %d is below the %d accelerators guaranteed", w.Quota, accelerators)
		}
	}
}

func (c *checker) checkClasses() {
	for _, id := range sortedKeys(c.set.Classes) {
		cl, kind, name := c.set.Classes[id], model.ObjectKindClass, string(id)
		c.checkName(kind, name, "name", name)
		switch cl.Urgency {
		case model.UrgencyUrgent, model.UrgencyStandard, model.UrgencyBatch:
		default:
			c.addFault(kind, name, "urgency", "use urgent, standard or batch", "the urgency %q is unknown", cl.Urgency)
		}
		c.checkRange(kind, name, "max-waiting", int64(cl.MaxQueuedJobs), 0, maxQueuedJobs)
	}
}

func (c *checker) checkGuarantees() {
	demands := map[model.DomainID]cellDemand{}
	for _, id := range sortedKeys(c.set.Guarantees) {
		g, kind, name := c.set.Guarantees[id], model.ObjectKindGuarantee, string(id)
		c.checkName(kind, name, "name", name)
		checkReference(c, c.set.Workspaces, g.Workspace, kind, name, "workspace")
		checkReference(c, c.set.FailureDomains, g.FailureDomain, kind, name, "failure-domain")
		c.checkRange(kind, name, "count", int64(g.CellCount), 1, maxCellCount)
		if g.CellSize < 1 || g.CellSize > maxCellSize || g.CellSize&(g.CellSize-1) != 0 {
			c.addFault(kind, name, "cell", fmt.Sprintf("use a power of two of at most %d", maxCellSize), "the cell size %d is not a power of two", g.CellSize)
			continue
		}
		if g.CellCount < 1 || g.CellCount > maxCellCount {
			continue
		}
		if demands[g.FailureDomain] == nil {
			demands[g.FailureDomain] = cellDemand{}
		}
		demands[g.FailureDomain][g.CellSize] += g.CellCount
	}
	for _, id := range sortedKeys(demands) {
		d, ok := c.set.FailureDomains[id]
		if !ok || !withinSizeBounds(d) {
			continue
		}
		// When cells do not fit, each guarantee of this cell size in the failure domain gets a fault.
		for _, short := range packCells(d, demands[id]) {
			for _, guaranteeID := range sortedKeys(c.set.Guarantees) {
				if g := c.set.Guarantees[guaranteeID]; g.FailureDomain == id && g.CellSize == short.cellSize && g.CellCount > 0 {
					c.addFault(model.ObjectKindGuarantee, string(guaranteeID), "count", "lower the guarantees of this failure domain or declare more racks",
						"%d of the %d cells of %d accelerators guaranteed in failure domain %s do not fit its racks", short.missing, short.requested, short.cellSize, id)
				}
			}
		}
	}
}

func (c *checker) checkServices() {
	for _, id := range sortedKeys(c.set.Services) {
		s, kind, name := c.set.Services[id], model.ObjectKindService, string(id)
		c.checkName(kind, name, "name", name)
		if len(s.Classes) == 0 {
			c.addFault(kind, name, "classes", "name at least one class; the first is the default", "the service has no classes")
		}
		checkReferences(c, c.set.Classes, s.Classes, kind, name, "classes")
		if len(s.Workspaces) == 0 {
			c.addFault(kind, name, "workspaces", "name the workspaces that may call it", "no workspace may call the service")
		}
		checkReferences(c, c.set.Workspaces, s.Workspaces, kind, name, "workspaces")
		c.checkRange(kind, name, "slots", int64(s.SlotsPerRunner), 1, maxSlots)
		c.checkRange(kind, name, "connections", int64(s.ConnectionsPerRunner), 1, maxSlots)
		c.checkRange(kind, name, "max-body", int64(s.MaxBodyBytes), 0, maxBodyBytes)
	}
}

// checkTokens checks the names and token digests of callers and operators. A digest must be unique among both, because a
// token identifies a single caller or operator.
func (c *checker) checkTokens() {
	owners := map[string]string{}
	checkDigest := func(kind model.ObjectKind, name, digest string) {
		if !isHexDigest(digest) {
			c.addFault(kind, name, "token-sha256", fmt.Sprintf("use the %d lower-case hex digits of the token's SHA-256 digest", digestLen), "the digest is malformed")
			return
		}
		owner := fmt.Sprintf("%s %s", kind, name)
		if other, ok := owners[digest]; ok {
			c.addFault(kind, name, "token-sha256", "issue a token of its own", "the token is also that of %s", other)
			return
		}
		owners[digest] = owner
	}
	for _, id := range sortedKeys(c.set.Operators) {
		c.checkName(model.ObjectKindOperator, string(id), "name", string(id))
		checkDigest(model.ObjectKindOperator, string(id), c.set.Operators[id].TokenSHA256)
	}
	for _, id := range sortedKeys(c.set.Callers) {
		c.checkName(model.ObjectKindCaller, string(id), "name", string(id))
		checkReference(c, c.set.Workspaces, c.set.Callers[id].Workspace, model.ObjectKindCaller, string(id), "workspace")
		checkDigest(model.ObjectKindCaller, string(id), c.set.Callers[id].TokenSHA256)
	}
}

// checkReference checks that the object ref is declared.
func checkReference[K ~string, V any](c *checker, declared map[K]V, ref K, kind model.ObjectKind, name, field string) {
	if _, ok := declared[ref]; !ok {
		c.addFault(kind, name, field, fmt.Sprintf("declare the %s or name an existing one", singular(field)), "%q does not exist", ref)
	}
}

// checkReferences checks that the objects refs are declared and that none is listed twice.
func checkReferences[K ~string, V any](c *checker, declared map[K]V, refs []K, kind model.ObjectKind, name, field string) {
	seen := map[K]bool{}
	for _, ref := range refs {
		if seen[ref] {
			c.addFault(kind, name, field, "name it once", "%q is named twice", ref)
			continue
		}
		seen[ref] = true
		checkReference(c, declared, ref, kind, name, field)
	}
}

// singular returns the name of a field in the singular, for messages.
func singular(field string) string {
	switch field {
	case "classes":
		return "class"
	case "workspaces":
		return "workspace"
	}
	return field
}

func sortedKeys[K ~string, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// isKebabCase reports whether s is a valid name in kebab-case: lower-case letters and digits, with single hyphens between them.
func isKebabCase(s string) bool {
	if len(s) == 0 || len(s) > maxNameLen || s[0] < 'a' || s[0] > 'z' || s[len(s)-1] == '-' {
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

func isHexDigest(s string) bool {
	for i := range len(s) {
		if ch := s[i]; (ch < '0' || ch > '9') && (ch < 'a' || ch > 'f') {
			return false
		}
	}
	return len(s) == digestLen
}
