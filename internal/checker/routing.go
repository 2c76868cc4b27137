package checker

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"

	"chestnutmux.example/chestnutmux/internal/resolver"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Kinds of the objects of a Routing, which Words can replace.
const (
	KindRoute     model.ObjectKind = "route"
	KindWorkspace                  = model.ObjectKindWorkspace
	KindService                    = model.ObjectKindService
	KindLimits    model.ObjectKind = "limits"
)

// Fields of the objects of a Routing, which Words can replace. Messages and remedies name them in braces.
const (
	FieldName        = "name"
	FieldVersion     = "version"
	FieldHostName    = "host-name"
	FieldPrefix      = "prefix"
	FieldService     = "service"
	FieldPriority    = "priority"
	FieldMaxAttempts = "max-attempts"
	FieldStretch     = "stretch"
	FieldTarget      = "target-ms"
	FieldTimeout     = "timeout-ms"
	FieldPublic      = "public"
	FieldKeys        = "keys"
	FieldGuarantee   = "guarantee"
	FieldMaxBody     = "max-body"
)

// Words holds the names that a file format uses for kinds and fields.
type Words map[string]string

// name returns the name of a kind or field in the file format.
func (w Words) name(s string) string {
	if n, ok := w[s]; ok {
		return n
	}
	return s
}

const (
	// maxAccelerators bounds guarantees so that their sum does not overflow.
	maxAccelerators = 1 << 32
	// maxAttempts is far above what any job needs.
	maxAttempts = 1 << 30
	// minSpecBytes is the size of the specification that a job may have.
	minSpecBytes = 4000
)

// Workspace is a workspace of a Routing.
type Workspace struct {
	Name       string
	Keys       []string
	Guaranteed int64 // accelerators
}

// Service is a service of a Routing.
type Service struct {
	Name          string
	InvalidFields []string // fields whose values hosts ignore
}

// Routing is a configuration that maps calls to queues by host name and path. Its values are those of the file, also where they are out of range.
type Routing struct {
	Version     int64
	Routes      []resolver.Route
	Workspaces  []Workspace
	Services    []Service
	HasServices bool  // whether the file has services
	AreListed   bool  // whether the services are a list; otherwise hosts ignore them
	MaxBody     int64 // 0 selects DefaultBody
	DefaultBody int64
	MaxPriority int64 // least urgent priority
	MaxTimeMS   int64
	MaxCallMS   int64 // longest timeout of calls that hosts grant; 0 means unknown
	Words       Words
}

// routingChecker collects the findings of a Routing.
type routingChecker struct {
	report
	Routing
	options Options
}

// CheckRouting returns the findings of a configuration by kind, and those of a kind in the order of the file.
func CheckRouting(r Routing, o Options) []Finding {
	c := &routingChecker{Routing: r, options: o}
	c.checkVersion()
	c.checkRoutes()
	c.checkMatches()
	c.checkServices()
	c.checkWorkspaces()
	c.checkGuarantees()
	c.checkLimits()
	return c.translated()
}

// translated returns the findings with the names of the file format.
func (c *routingChecker) translated() []Finding {
	var pairs []string
	for _, field := range []string{FieldStretch, FieldTarget, FieldTimeout, FieldPrefix, FieldHostName, FieldKeys, FieldPublic, FieldService} {
		pairs = append(pairs, "{"+field+"}", c.Words.name(field))
	}
	braces := strings.NewReplacer(pairs...)
	for i := range c.findings {
		f := &c.findings[i]
		f.Kind, f.Field = model.ObjectKind(c.Words.name(string(f.Kind))), c.Words.name(f.Field)
		f.Message, f.Remedy = braces.Replace(f.Message), braces.Replace(f.Remedy)
	}
	return c.findings
}

func (c *routingChecker) checkVersion() {
	p := Place{Kind: kindFile, Field: FieldVersion}
	switch {
	case c.Version < 1:
		c.addError(p, "use a version of at least 1", "hosts refuse version %d", c.Version)
	case c.options.CompareVersion && c.Version <= c.options.VersionInForce:
		c.addError(p, "raise the version", "version %d is not above version %d, and hosts ignore it", c.Version, c.options.VersionInForce)
	}
}

// checkName checks that an object has a name and that no earlier object of its kind has the same name.
func (c *routingChecker) checkName(kind model.ObjectKind, name string, index int, seen map[string]int) {
	if name == "" {
		c.addWarning(Place{Kind: kind, Name: ObjectName(name, index), Field: FieldName}, "give it a name", "it has no name")
		return
	}
	if first, ok := seen[name]; ok {
		c.addError(Place{Kind: kind, Name: name, Field: FieldName}, "give each a name of its own",
			"entries %d and %d of the list have the same name", first+1, index+1)
		return
	}
	seen[name] = index
}

// checkRoutes checks the values of each route.
func (c *routingChecker) checkRoutes() {
	seen := map[string]int{}
	for i := range c.Routes {
		q := &c.Routes[i].Queue
		place := c.routePlaces(i)
		c.checkName(KindRoute, string(q.ID), i, seen)
		c.checkRange(place(FieldPriority), int64(q.Priority), 0, c.MaxPriority)
		c.checkRange(place(FieldMaxAttempts), int64(q.MaxAttempts), 0, maxAttempts)
		c.checkRange(place(FieldTarget), int64(q.TargetOffsetMS), 0, c.MaxTimeMS)
		c.checkRange(place(FieldTimeout), int64(q.CallTimeoutMS), 0, c.MaxTimeMS)
		if q.Service == "" {
			c.addError(place(FieldService), "name the service whose workers run the jobs", "it is empty, and no worker has an empty service")
		}
		if q.TargetStretch < 0 || q.TargetStretch > float64(c.MaxTimeMS) {
			c.addError(place(FieldStretch), fmt.Sprintf("use a number from 0 to %d, by which the duration of the longest chain of steps is multiplied", c.MaxTimeMS),
				"%v is out of bounds", q.TargetStretch)
		}
		c.checkTimes(q, place)
	}
}

// checkTimes compares the timeout of calls with the target duration of jobs and with the longest that hosts grant. A target with a stretch depends
// on the job, so that no timeout is known to be above it.
func (c *routingChecker) checkTimes(q *model.Queue, place func(string) Place) {
	if q.TargetStretch == 0 && q.TargetOffsetMS == 0 {
		c.addWarning(place(FieldTarget), "set {stretch} or {target-ms}", "the target duration of all jobs is 0, so that each result counts as late")
	}
	if timeout := int64(q.CallTimeoutMS); c.MaxCallMS > 0 && timeout > c.MaxCallMS && timeout <= c.MaxTimeMS {
		c.addWarning(place(FieldTimeout), fmt.Sprintf("lower {timeout-ms} to at most %d", c.MaxCallMS),
			"the timeout of %d ms has the effect of %d ms, the longest that hosts grant", timeout, c.MaxCallMS)
	}
	switch {
	case q.CallTimeoutMS == 0:
		c.addWarning(place(FieldTimeout), "set {timeout-ms}", "calls have no timeout of the route, and last as long as the caller's deadline or the default allow")
	case q.TargetStretch == 0 && q.TargetOffsetMS > 0 && q.CallTimeoutMS > q.TargetOffsetMS:
		c.addWarning(place(FieldTimeout), "lower {timeout-ms} or raise {target-ms}", "the timeout of %d ms is above the target of %d ms", q.CallTimeoutMS, q.TargetOffsetMS)
	}
}

// routePlaces returns a function that returns the place of a field of a route.
func (c *routingChecker) routePlaces(index int) func(field string) Place {
	name := ObjectName(string(c.Routes[index].Queue.ID), index)
	return func(field string) Place { return Place{Kind: KindRoute, Name: name, Field: field} }
}

// hostRoutes holds the routes of a host name.
type hostRoutes struct {
	byPrefix map[string]int // index of the first route with a prefix
	lengths  []int          // lengths of the prefixes, longest first, each once
}

// checkMatches checks which calls each route matches: those with its host name and no longer prefix of another route.
func (c *routingChecker) checkMatches() {
	byHostName := map[string]*hostRoutes{}
	for i, r := range c.Routes {
		h := byHostName[r.HostName]
		if h == nil {
			h = &hostRoutes{byPrefix: map[string]int{}}
			byHostName[r.HostName] = h
		}
		if first, ok := h.byPrefix[r.Prefix]; ok {
			c.addError(c.routePlaces(i)(FieldPrefix), "change {host-name} or {prefix}, or remove one of them",
				"route %s has the same {host-name} and {prefix} and comes first, so that this one never matches", c.routeName(first))
			continue
		}
		h.byPrefix[r.Prefix] = i
	}
	for _, h := range byHostName {
		h.sortLengths()
	}
	for i, r := range c.Routes {
		if h := byHostName[r.HostName]; h.byPrefix[r.Prefix] == i {
			c.checkReachable(i)
			c.checkVisibility(i, h)
		}
	}
}

// sortLengths sets the lengths of the prefixes.
func (h *hostRoutes) sortLengths() {
	seen := map[int]bool{}
	for prefix := range h.byPrefix {
		seen[len(prefix)] = true
	}
	h.lengths = slices.Sorted(maps.Keys(seen))
	slices.Reverse(h.lengths)
}

// checkReachable adds an error if hosts refuse all calls to a route, whatever its neighbours are. Such a call names a job, without a slash, after the
// prefix.
func (c *routingChecker) checkReachable(index int) {
	r, place := &c.Routes[index], c.routePlaces(index)
	switch {
	case r.Prefix == "":
		c.addError(place(FieldPrefix), "use {prefix} /", "it is empty, and hosts refuse names of jobs with a slash, with which all paths begin")
	case r.Prefix[0] != '/':
		c.addError(place(FieldPrefix), "begin {prefix} with a slash", "paths begin with a slash, so that %q never matches", r.Prefix)
	case !strings.HasSuffix(r.Prefix, "/"):
		c.addWarning(place(FieldPrefix), "end {prefix} with a slash",
			"the name of a job follows %q without a slash, and calls with a slash between them are refused", r.Prefix)
	}
	switch {
	case r.HostName == "":
		c.addError(place(FieldHostName), "name the host of the calls", "it is empty, and no call has an empty host name")
	case strings.ContainsFunc(r.HostName, func(ch rune) bool { return ch <= ' ' || ch >= 0x7f }):
		c.addError(place(FieldHostName), "use ASCII without blanks (Punycode)", "hosts refuse calls with such a host name, so that %q never matches", r.HostName)
	case hasPort(r.HostName):
		c.addError(place(FieldHostName), "leave out the port", "calls are matched without their port, so that %q never matches", r.HostName)
	}
}

// hasPort reports whether a host name ends with a port. An IP address of version 6 has colons without one.
func hasPort(hostName string) bool {
	_, err := netip.ParseAddr(strings.Trim(hostName, "[]"))
	return err != nil && strings.Contains(hostName, ":")
}

// checkVisibility adds a warning if a route is public and the next wider one of its host name is not, or the reverse.
func (c *routingChecker) checkVisibility(index int, h *hostRoutes) {
	r := &c.Routes[index]
	for _, length := range h.lengths {
		if length >= len(r.Prefix) {
			continue
		}
		wider, ok := h.byPrefix[r.Prefix[:length]]
		if !ok {
			continue
		}
		if w := &c.Routes[wider]; w.Queue.Public && !r.Queue.Public {
			c.addWarning(c.routePlaces(index)(FieldPublic), "set {public} alike, or put it under another {prefix}",
				"calls need a key, but those of the wider route %s need none", c.routeName(wider))
		} else if !w.Queue.Public && r.Queue.Public {
			c.addWarning(c.routePlaces(index)(FieldPublic), "set {public} alike, or put it under another {prefix}",
				"calls need no key, but those of the wider route %s do", c.routeName(wider))
		}
		return
	}
}

func (c *routingChecker) routeName(index int) string {
	return ObjectName(string(c.Routes[index].Queue.ID), index)
}
