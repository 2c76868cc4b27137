package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/server"
	"chestnutmux.example/chestnutmux/pkg/client"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const configPath = "../../deploy/kartli/config.hujson"

// fakeBackend is a server.Backend whose responses the tests set and that records the requests.
type fakeBackend struct {
	server.Backend       // nil, so methods that are not implemented below panic
	err            error // returned by the methods other than Publish
	publishErr     error // returned by Publish
	jobs           []model.Job
	config         model.ConfigResponse
	published      []model.PublishRequest
	cancelled      []model.JobID
	drained        bool
	calls          []server.AuthenticatedCall
}

func (b *fakeBackend) Authenticate(token string) (server.Identity, bool) {
	switch token {
	case "caller":
		return server.Identity{Workspace: "w", Caller: "c"}, true
	case "operator":
		return server.Identity{Operator: "o"}, true
	}
	return server.Identity{}, false
}

func (b *fakeBackend) Submit(_ context.Context, spec model.JobSpec) (model.Job, error) {
	if spec.Class == "unknown-class" {
		return model.Job{}, &model.Error{Outcome: model.OutcomeNotRun, Kind: model.ErrorKindInvalid, Message: "no class", Remedy: "name one"}
	}
	b.jobs = append(b.jobs, model.Job{Spec: spec, State: model.JobQueued})
	return b.jobs[len(b.jobs)-1], b.err
}

func (b *fakeBackend) Job(_ context.Context, _ model.WorkspaceID, id model.JobID, _ time.Time) (model.Job, error) {
	for i := range b.jobs {
		if b.jobs[i].Spec.ID == id {
			b.jobs[i].State = model.JobFinished
			if id == "w:bad" {
				b.jobs[i].State, b.jobs[i].FailureReason = model.JobFailed, "exit status 1"
			}
			return b.jobs[i], b.err
		}
	}
	return model.Job{}, &model.Error{Kind: model.ErrorKindNotFound, Message: "no job " + string(id), Remedy: "check the id"}
}

func (b *fakeBackend) Jobs(context.Context, model.WorkspaceID) ([]model.Job, error) {
	return b.jobs, b.err
}

func (b *fakeBackend) Cancel(_ context.Context, _ model.WorkspaceID, id model.JobID) error {
	b.cancelled = append(b.cancelled, id)
	return b.err
}

func (b *fakeBackend) Explain(_ context.Context, _ model.WorkspaceID, id model.JobID) (model.Explanation, error) {
	return model.Explanation{Job: id, State: model.JobQueued, Leader: "a-e1", Reason: "no room", Remedy: "wait", Forecast: &model.JobForecast{RunMS: 9000, RemainingMS: 4000, Runs: 70}}, b.err
}

func (b *fakeBackend) Call(_ context.Context, r server.AuthenticatedCall) (client.CallResponse, error) {
	b.calls = append(b.calls, r)
	return client.CallResponse{Body: []byte("answer"), Runner: "r1"}, b.err
}

func (b *fakeBackend) MaxBodyBytes(model.ServiceID) model.Bytes { return 1 << 10 }

func (b *fakeBackend) Config(context.Context) (model.ConfigResponse, error) { return b.config, b.err }

func (b *fakeBackend) Publish(_ context.Context, p model.PublishRequest) (model.ConfigVersion, error) {
	b.published = append(b.published, p)
	return b.config.Version + 1, b.publishErr
}

func (b *fakeBackend) Status(context.Context) (model.HostStatus, error) {
	return model.HostStatus{
		Host: "a-e1", FailureDomain: "a", Ready: true, Leader: "a-e1", Role: model.RoleLeader, ConfigVersion: 3,
		Workspaces: []model.WorkspaceStatus{{Workspace: "w", Queued: 2, Quota: 64}},
		Workers:    []model.WorkerStatus{{Worker: "a-r1-0", Rack: "r1", Health: "live"}},
		Peers:      []model.PeerStatus{{Host: "b-e1", FailureDomain: "b", Live: true}},
	}, b.err
}

func (b *fakeBackend) Drain() { b.drained = true }

// commandResult is the exit code and the output of one run of a command.
type commandResult struct {
	exitCode       int
	stdout, stderr string
}

// runWithBackend runs a command that sends its requests to a server with the given backend.
func runWithBackend(t *testing.T, b *fakeBackend, token string, args ...string) commandResult {
	t.Helper()
	s := httptest.NewServer((&server.Server{Backend: b, Logger: hclog.NewNullLogger(), MetricsHandler: http.NotFoundHandler()}).Handler())
	defer s.Close()
	t.Setenv("CHESTNUTMUX_SERVER", s.URL)
	t.Setenv("CHESTNUTMUX_TOKEN", token)
	return runCommand(t, args...)
}

// runCommand runs a command with {"from":"stdin"} on standard input.
func runCommand(t *testing.T, args ...string) commandResult {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code := run(&env{ctx: t.Context(), stdin: strings.NewReader(`{"from":"stdin"}`), stdout: &stdout, stderr: &stderr}, args)
	return commandResult{code, stdout.String(), stderr.String()}
}

// Guards against exit codes by which a script cannot tell apart a request that was not run, an unknown outcome and a conflict.
func TestExitCodes(t *testing.T) {
	for _, c := range []struct {
		kind    model.ErrorKind
		outcome model.Outcome
		want    int
	}{
		{model.ErrorKindOverloaded, model.OutcomeNotRun, ExitNotRun},
		{model.ErrorKindLogUnavailable, model.OutcomeUnknown, ExitUnknown},
		{model.ErrorKindConflict, model.OutcomeUnknown, ExitUnknown},
		{model.ErrorKindConflict, model.OutcomeNotRun, ExitConflict},
		{model.ErrorKindInvalid, model.OutcomeNotRun, ExitUsage},
		{model.ErrorKindNotFound, "", ExitFailure},
	} {
		t.Run(string(c.kind)+string(c.outcome), func(t *testing.T) {
			is := is.New(t)
			b := &fakeBackend{err: &model.Error{Kind: c.kind, Outcome: c.outcome, Message: "it went wrong", Remedy: "do this"}}
			r := runWithBackend(t, b, "caller", "call", "s")
			is.Equal(r.exitCode, c.want)
			is.True(strings.Contains(r.stderr, "it went wrong; do this"))
			is.Equal(r.stdout, "")
		})
	}
}

// Guards against usage errors that print more than one line, name no remedy or have the wrong exit code.
func TestUsageErrors(t *testing.T) {
	file := filepath.Join(t.TempDir(), "f")
	is.New(t).NoErr(os.WriteFile(file, []byte("{\n \"workspace\": {}}"), 0o600))
	for name, c := range map[string]struct {
		args   []string
		remedy string
	}{
		"unknown flag":    {[]string{"submit", "--clas", "x"}, "--help"},
		"unknown command": {[]string{"pubish"}, "--help"},
		"no token":        {[]string{"status"}, "CHESTNUTMUX_TOKEN"},
		"no URL":          {[]string{"status", "--token", "t", "--server", "localhost"}, "write it like"},
		"two views":       {[]string{"status", "--token", "t", "--jobs", "--worker", "x"}, "--help"},
		"missing file":    {[]string{"check", "no-such-file"}, "check its path"},
		"bad file":        {[]string{"check", file}, "line 2"},
		"no settings":     {[]string{"check", "--settings", "no-such-file"}, "check the path"},
		"no class":        {[]string{"submit", "--token", "t"}, "give --class"},
		"no job file":     {[]string{"submit", "--token", "t", "--file", file}, "a list of jobs"},
		"payload":         {[]string{"submit", "--token", "t", "--class", "x", "--payload", "{"}, "quote it"},
		"cancel nothing":  {[]string{"cancel", "--token", "t"}, "--all"},
		"cancel both":     {[]string{"cancel", "--token", "t", "--all", "j"}, "--all"},
		"log level":       {[]string{"log-level", "--token", "t", "loud"}, "--help"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			t.Setenv("CHESTNUTMUX_TOKEN", "")
			r := runCommand(t, c.args...)
			is.Equal(r.exitCode, ExitUsage)
			is.True(strings.Contains(r.stderr, c.remedy)) // the message names the remedy
			is.Equal(strings.Count(r.stderr, "\n"), 1)    // one line
			is.Equal(r.stdout, "")
		})
	}
}

// Guards against skipping the jobs of a file after the first one that is refused, and against progress in the JSON output.
func TestSubmitFile(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "jobs.json")
	is.NoErr(os.WriteFile(file, []byte(`[{"id":"a","class":"c"},{"id":"b","class":"unknown-class"},{"class":"c"}]`), 0o600))
	b := &fakeBackend{}
	r := runWithBackend(t, b, "caller", "submit", "--file", file, "--json")
	is.Equal(r.exitCode, ExitUsage)
	is.True(strings.Contains(r.stderr, "job b"))
	is.Equal(len(b.jobs), 2)
	is.True(b.jobs[1].Spec.ID != "")
	d := json.NewDecoder(strings.NewReader(r.stdout))
	for range 2 {
		var j model.Job
		is.NoErr(d.Decode(&j))
	}
}

// Guards against success of submit --wait for a failed job, and against results that show the state before the wait.
func TestSubmitWait(t *testing.T) {
	is := is.New(t)
	r := runWithBackend(t, &fakeBackend{}, "caller", "submit", "--class", "c", "--id", "good", "--wait")
	is.Equal(r.exitCode, ExitOK)
	is.True(strings.Contains(r.stdout, "finished") && !strings.Contains(r.stdout, "queued"))
	is.True(strings.Contains(r.stderr, "queued"))
	r = runWithBackend(t, &fakeBackend{}, "caller", "submit", "--class", "c", "--id", "bad", "--wait")
	is.Equal(r.exitCode, ExitFailure)
	is.True(strings.Contains(r.stderr, "exit status 1"))
}

// Guards against cancel --all sending cancellations of jobs that have ended.
func TestCancelAll(t *testing.T) {
	is := is.New(t)
	b := &fakeBackend{jobs: []model.Job{
		{Spec: model.JobSpec{ID: "w:a"}, State: model.JobQueued},
		{Spec: model.JobSpec{ID: "w:b"}, State: model.JobFinished},
		{Spec: model.JobSpec{ID: "w:c"}, State: model.JobRunning},
	}}
	r := runWithBackend(t, b, "caller", "cancel", "--all", "--json")
	is.Equal(r.exitCode, ExitOK)
	is.Equal(b.cancelled, []model.JobID{"w:a", "w:c"})
	is.Equal(r.stdout, `{"cancelled":["a","c"]}`+"\n")
}

// Guards against ignoring --base, publishing a file that is already in force, and hiding the faults of a refused publish.
func TestPublishAndDiff(t *testing.T) {
	is := is.New(t)
	b := &fakeBackend{config: model.ConfigResponse{Version: 7}}
	r := runWithBackend(t, b, "operator", "diff", configPath)
	is.Equal(r.exitCode, ExitOK)
	is.True(strings.Contains(r.stdout, "against version 7\n") && strings.Contains(r.stdout, "+ workspace bridal"))
	is.Equal(len(b.published), 0)
	r = runWithBackend(t, b, "operator", "publish", "--base", "5", "--json", configPath)
	is.Equal(r.exitCode, ExitOK)
	is.Equal(b.published[0].BaseVersion, model.ConfigVersion(5))
	published, err := readConfig(&env{}, configPath)
	is.NoErr(err)
	b.config.Config = published
	r = runWithBackend(t, b, "operator", "publish", configPath)
	is.Equal(r.stdout, "version 7 in force, 0 objects changed\n")
	is.Equal(len(b.published), 1)
	b.config.Config = model.ConfigSet{}
	b.publishErr = &model.Error{Kind: model.ErrorKindInvalid, Outcome: model.OutcomeNotRun, Message: "1 fault", Faults: []model.ConfigFault{
		{Kind: model.ObjectKindWorkspace, Name: "bridal", Field: "quota", Message: "too low", Remedy: "raise it"},
	}}
	r = runWithBackend(t, b, "operator", "publish", configPath)
	is.Equal(r.exitCode, ExitUsage)
	is.True(strings.HasSuffix(r.stderr, ": workspace bridal: quota: too low; raise it\n"))
	b.publishErr = &model.Error{Kind: model.ErrorKindConflict, Outcome: model.OutcomeNotRun, Message: "workspace bridal was changed by x in version 6"}
	is.Equal(runWithBackend(t, b, "operator", "publish", configPath).exitCode, ExitConflict)
}

// Guards against requests to evacuate that are published wrongly or twice, and against a publish of a file that takes them back.
func TestEvacuate(t *testing.T) {
	is := is.New(t)
	b := &fakeBackend{config: model.ConfigResponse{Version: 7}}
	r := runWithBackend(t, b, "operator", "evacuate", "kartli-a")
	is.Equal(r.stdout, "version 8 in force, failure domain kartli-a evacuated\n")
	is.Equal(b.published[0].Changes, []model.ConfigChange{{Kind: model.ObjectKindEvacuation, Name: "kartli-a", Spec: json.RawMessage("{}")}})
	is.Equal(runWithBackend(t, b, "operator", "evacuate", "--back", "kartli-a").exitCode, ExitOK) // not evacuated
	is.Equal(len(b.published), 1)
	config, err := readConfig(&env{}, configPath)
	is.NoErr(err)
	config.Evacuations = map[model.DomainID]model.Evacuation{"kartli-a": {}}
	b.config.Config = config
	is.Equal(runWithBackend(t, b, "operator", "evacuate", "kartli-a").exitCode, ExitOK)
	is.Equal(runWithBackend(t, b, "operator", "publish", configPath).stdout, "version 7 in force, 0 objects changed\n")
	is.Equal(len(b.published), 1)
	r = runWithBackend(t, b, "operator", "evacuate", "--back", "--json", "kartli-a")
	is.Equal(r.stdout, `{"evacuated":false,"failure-domain":"kartli-a","version":8}`+"\n")
	is.Equal(b.published[1].Changes, []model.ConfigChange{{Kind: model.ObjectKindEvacuation, Name: "kartli-a"}})
}

// Guards against a status view that shows a different object, and against success for an object that does not exist.
func TestStatusViews(t *testing.T) {
	for name, c := range map[string]struct {
		token string
		args  []string
		want  string
	}{
		"host":           {"operator", nil, "host a-e1 in a"},
		"peer":           {"operator", []string{"--host", "b-e1"}, "b-e1"},
		"peer json":      {"operator", []string{"--host", "b-e1", "--json"}, `{"host":"b-e1"`},
		"worker":         {"operator", []string{"--worker", "a-r1-0"}, "a-r1-0"},
		"workspace":      {"operator", []string{"--workspace", "w"}, "64"},
		"jobs":           {"caller", []string{"--jobs"}, "queued"},
		"job":            {"caller", []string{"--job", "j"}, "finished"},
		"missing worker": {"operator", []string{"--worker", "x"}, ""},
		"missing host":   {"operator", []string{"--host", "x"}, ""},
		"missing job":    {"caller", []string{"--job", "x"}, ""},
		"wrong token":    {"caller", nil, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := &fakeBackend{jobs: []model.Job{{Spec: model.JobSpec{ID: "w:j"}, State: model.JobQueued}}}
			r := runWithBackend(t, b, c.token, append([]string{"status"}, c.args...)...)
			is.True(strings.Contains(r.stdout, c.want))
			is.Equal(r.exitCode != ExitOK, c.want == "")
			is.Equal(r.stderr != "", c.want == "")
		})
	}
}

// Guards against commands that have no effect or print no result.
func TestOtherCommands(t *testing.T) {
	is := is.New(t)
	b := &fakeBackend{}
	is.True(strings.Contains(runWithBackend(t, b, "caller", "explain", "j").stdout, "no room\nwait\nexpected to run 9s, 4s of it left, from 70 runs\n"))
	is.Equal(runWithBackend(t, b, "caller", "call", "--repeat", "--request-id", "r", "s", "-").stdout, "answer\n")
	is.Equal(string(b.calls[0].Body), `{"from":"stdin"}`)
	is.True(b.calls[0].IsRetry)
	is.Equal(runWithBackend(t, b, "operator", "drain").exitCode, ExitOK)
	is.True(b.drained)
	is.Equal(runWithBackend(t, b, "operator", "log-level", "debug").exitCode, ExitOK)
	is.Equal(runCommand(t, "version", "--json").stdout, `{"version":"`+version+`"}`+"\n")
	is.Equal(runCommand(t, "check", configPath, "--json").stdout, `{"faults":[]}`+"\n")
}
