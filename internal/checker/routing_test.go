package checker

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/resolver"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// newSoundRouting returns a configuration without findings.
func newSoundRouting() Routing {
	return Routing{
		Version: 7, MaxPriority: 1000, MaxTimeMS: 1e12, DefaultBody: 1 << 18, HasServices: true, AreListed: true, Services: []Service{{Name: "s"}},
		Workspaces: []Workspace{{Name: "a", Keys: []string{"key-a"}, Guaranteed: 8}, {Name: "b", Keys: []string{"key-b"}}},
		Routes: []resolver.Route{
			newRoute("urgent", "/", 0), newRoute("batch", "/batch/", 1),
		},
	}
}

func newRoute(name, prefix string, priority int) resolver.Route {
	return resolver.Route{HostName: "h", Prefix: prefix, Queue: model.Queue{
		ID: model.QueueID(name), Service: "s", Priority: model.Priority(priority), TargetStretch: 3, TargetOffsetMS: 500, CallTimeoutMS: 3000,
	}}
}

// summarize returns the severity and the place of each finding, and checks that each has a message and a remedy.
func summarize(t *testing.T, findings []Finding) []string {
	t.Helper()
	out := []string{}
	for _, f := range findings {
		if f.Message == "" || f.Remedy == "" {
			t.Errorf("%v lacks a message or a remedy", f)
		}
		out = append(out, string(f.Severity)+" "+f.Place.String())
	}
	return out
}

// Guards against findings that are missed, false alarms, and errors that should be warnings.
func TestCheckRouting(t *testing.T) {
	none := []string{}
	for name, c := range map[string]struct {
		change  func(r *Routing)
		options Options
		want    []string
	}{
		"sound":                   {func(*Routing) {}, Options{Accelerators: 8, LargestBody: 1 << 18, LargestSureBody: 1 << 18}, none},
		"version 0":               {func(r *Routing) { r.Version = 0 }, Options{}, []string{"error file: version"}},
		"version of the other":    {func(*Routing) {}, Options{CompareVersion: true, VersionInForce: 7}, []string{"error file: version"}},
		"higher version":          {func(*Routing) {}, Options{CompareVersion: true, VersionInForce: 6}, none},
		"priority":                {func(r *Routing) { r.Routes[1].Queue.Priority = 1001 }, Options{}, []string{"error route batch: priority"}},
		"negative priority":       {func(r *Routing) { r.Routes[0].Queue.Priority = -1 }, Options{}, []string{"error route urgent: priority"}},
		"attempts":                {func(r *Routing) { r.Routes[0].Queue.MaxAttempts = -1 }, Options{}, []string{"error route urgent: max-attempts"}},
		"target":                  {func(r *Routing) { r.Routes[0].Queue.TargetOffsetMS = -1 }, Options{}, []string{"error route urgent: target-ms"}},
		"timeout":                 {func(r *Routing) { r.Routes[0].Queue.CallTimeoutMS = math.MaxInt64 }, Options{}, []string{"error route urgent: timeout-ms"}},
		"stretch":                 {func(r *Routing) { r.Routes[0].Queue.TargetStretch = -1 }, Options{}, []string{"error route urgent: stretch"}},
		"guarantee":               {func(r *Routing) { r.Workspaces[0].Guaranteed = -1 }, Options{}, []string{"error workspace a: guarantee"}},
		"body limit":              {func(r *Routing) { r.MaxBody = -1 }, Options{}, []string{"error limits: max-body"}},
		"route twice":             {func(r *Routing) { r.Routes[1].Queue.ID = "urgent" }, Options{}, []string{"error route urgent: name"}},
		"route without a name":    {func(r *Routing) { r.Routes[1].Queue.ID = "" }, Options{}, []string{"warning route #2: name"}},
		"workspace twice":         {func(r *Routing) { r.Workspaces[1].Name = "a" }, Options{}, []string{"error workspace a: name"}},
		"service twice":           {func(r *Routing) { r.Services = append(r.Services, Service{Name: "s"}) }, Options{}, []string{"error service s: name"}},
		"same prefix":             {func(r *Routing) { r.Routes[1].Prefix = "/" }, Options{}, []string{"error route batch: prefix"}},
		"same prefix, other host": {func(r *Routing) { r.Routes[1].Prefix, r.Routes[1].HostName = "/", "i" }, Options{}, none},
		"behind the root":         {func(r *Routing) { r.Routes[1].Prefix = "" }, Options{}, []string{"error route batch: prefix"}},
		"empty prefix":            {func(r *Routing) { r.Routes[0].Prefix = "" }, Options{}, []string{"error route urgent: prefix"}},
		"prefix without an end":   {func(r *Routing) { r.Routes[1].Prefix = "/batch" }, Options{}, []string{"warning route batch: prefix"}},
		"prefix without a slash":  {func(r *Routing) { r.Routes[1].Prefix = "batch" }, Options{}, []string{"error route batch: prefix"}},
		"no host name":            {func(r *Routing) { r.Routes[1].HostName = "" }, Options{}, []string{"error route batch: host-name"}},
		"host name with a port":   {func(r *Routing) { r.Routes[1].HostName = "h:80" }, Options{}, []string{"error route batch: host-name"}},
		"host name with a blank":  {func(r *Routing) { r.Routes[1].HostName = "h " }, Options{}, []string{"error route batch: host-name"}},
		"host name not in ASCII":  {func(r *Routing) { r.Routes[1].HostName = "bücher" }, Options{}, []string{"error route batch: host-name"}},
		"IP address":              {func(r *Routing) { r.Routes[1].HostName = "::1" }, Options{}, none},
		"public under private":    {func(r *Routing) { r.Routes[1].Queue.Public = true }, Options{}, []string{"warning route batch: public"}},
		"private under public":    {func(r *Routing) { r.Routes[0].Queue.Public = true }, Options{}, []string{"warning route batch: public"}},
		"public beside private":   {func(r *Routing) { r.Routes[0].Queue.Public, r.Routes[0].Prefix = true, "/x/" }, Options{}, none},
		"unknown service":         {func(r *Routing) { r.Routes[0].Queue.Service = "x" }, Options{}, []string{"error route urgent: service"}},
		"empty service":           {func(r *Routing) { r.Routes[0].Queue.Service = "" }, Options{}, []string{"error route urgent: service"}},
		"empty service, no list": {func(r *Routing) {
			r.Routes[0].Queue.Service, r.Services, r.HasServices = "", nil, false
		}, Options{}, []string{"error route urgent: service"}},
		"no list of services":        {func(r *Routing) { r.Services, r.HasServices = nil, false }, Options{}, none},
		"services in no list":        {func(r *Routing) { r.AreListed = false }, Options{}, []string{"error service"}},
		"unused service":             {func(r *Routing) { r.Services = append(r.Services, Service{Name: "x"}) }, Options{}, []string{"warning service x"}},
		"invalid field":              {func(r *Routing) { r.Services[0].InvalidFields = []string{"rate"} }, Options{}, []string{"error service s: rate"}},
		"shared key":                 {func(r *Routing) { r.Workspaces[1].Keys = []string{"key-a"} }, Options{}, []string{"error workspace b: keys"}},
		"key twice":                  {func(r *Routing) { r.Workspaces[1].Keys = []string{"k", "k"} }, Options{}, []string{"warning workspace b: keys"}},
		"empty key":                  {func(r *Routing) { r.Workspaces[1].Keys = []string{""} }, Options{}, []string{"error workspace b: keys"}},
		"key with a blank":           {func(r *Routing) { r.Workspaces[1].Keys = []string{"k "} }, Options{}, []string{"error workspace b: keys"}},
		"key with a line break":      {func(r *Routing) { r.Workspaces[1].Keys = []string{"k\nl"} }, Options{}, []string{"error workspace b: keys"}},
		"no keys":                    {func(r *Routing) { r.Workspaces[1].Keys = nil }, Options{}, []string{"warning workspace b: keys"}},
		"guarantee without priority": {func(r *Routing) { r.Routes[0].Queue.Priority = 1 }, Options{}, []string{"error workspace a: guarantee"}},
		"guarantees over the fleet":  {func(r *Routing) { r.Workspaces[1].Guaranteed = 1 }, Options{Accelerators: 8}, []string{"error workspace: guarantee"}},
		"no timeout":                 {func(r *Routing) { r.Routes[0].Queue.CallTimeoutMS = 0 }, Options{}, []string{"warning route urgent: timeout-ms"}},
		"timeout over that of hosts": {func(r *Routing) { r.MaxCallMS = 2999 }, Options{}, []string{"warning route urgent: timeout-ms", "warning route batch: timeout-ms"}},
		"timeout of hosts":           {func(r *Routing) { r.MaxCallMS = 3000 }, Options{}, none},
		"timeout over the target":    {func(r *Routing) { r.Routes[0].Queue.TargetStretch = 0 }, Options{}, []string{"warning route urgent: timeout-ms"}},
		"no target": {func(r *Routing) {
			r.Routes[0].Queue.TargetStretch, r.Routes[0].Queue.TargetOffsetMS = 0, 0
		}, Options{}, []string{"warning route urgent: target-ms"}},
		"bodies over any budget":       {func(r *Routing) { r.MaxBody = 9000 }, Options{LargestBody: 8999, LargestSureBody: 100}, []string{"error limits: max-body"}},
		"bodies over the least budget": {func(r *Routing) { r.MaxBody = 9000 }, Options{LargestBody: 9000, LargestSureBody: 8999}, []string{"warning limits: max-body"}},
		"default over any budget":      {func(*Routing) {}, Options{LargestBody: 1 << 17}, []string{"error limits: max-body"}},
		"bodies under specifications":  {func(r *Routing) { r.MaxBody = 3999 }, Options{}, []string{"error limits: max-body"}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newSoundRouting()
			c.change(&r)
			is.New(t).Equal(summarize(t, CheckRouting(r, c.options)), c.want)
		})
	}
}

// Guards against a check whose time grows with the square of the length of a prefix. Twenty such prefixes took 14 s.
func TestCheckRoutingOfLongPrefixes(t *testing.T) {
	is := is.New(t)
	r := newSoundRouting()
	for i := range 60 {
		r.Routes = append(r.Routes, newRoute(fmt.Sprint("long-", i), "/"+strings.Repeat("a", 400_000)+fmt.Sprint(i)+"/", 1))
	}
	start := time.Now()
	is.Equal(summarize(t, CheckRouting(r, Options{})), []string{})
	is.True(time.Since(start) < 5*time.Second)
}
