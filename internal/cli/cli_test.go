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

const config = "../../deploy/kartli/config.hujson"

// backend is an entry host whose answers the tests set.
type backend struct {
	server.Backend // panics for methods that a test does not expect
	err            error
	refusal        error // of a publish
	jobs           []model.Job
	config         model.ConfigResponse
	published      []model.PublishRequest
	cancelled      []model.JobID
	drained        bool
	calls          []server.AuthenticatedCall
}

func (b *backend) Authenticate(token string) (server.Identity, bool) {
	switch token {
	case "caller":
		return server.Identity{Workspace: "w", Caller: "c"}, true
	case "operator":
		return server.Identity{Operator: "o"}, true
	}
	return server.Identity{}, false
}

func (b *backend) Submit(_ context.Context, spec model.JobSpec) (model.Job, error) {
	if spec.Class == "unknown-class" {
		return model.Job{}, &model.Error{Outcome: model.OutcomeNotRun, Kind: model.ErrorKindInvalid, Message: "no class", Remedy: "name one"}
	}
	b.jobs = append(b.jobs, model.Job{Spec: spec, State: model.JobQueued})
	return b.jobs[len(b.jobs)-1], b.err
}

func (b *backend) Job(_ context.Context, _ model.WorkspaceID, id model.JobID, _ time.Time) (model.Job, error) {
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

func (b *backend) Jobs(context.Context, model.WorkspaceID) ([]model.Job, error) { return b.jobs, b.err }

func (b *backend) Cancel(_ context.Context, _ model.WorkspaceID, id model.JobID) error {
	b.cancelled = append(b.cancelled, id)
	return b.err
}

func (b *backend) Explain(_ context.Context, _ model.WorkspaceID, id model.JobID) (model.Explanation, error) {
	return model.Explanation{Job: id, State: model.JobQueued, Leader: "a-e1", Reason: "no room", Remedy: "wait"}, b.err
}

func (b *backend) Call(_ context.Context, r server.AuthenticatedCall) (client.CallResponse, error) {
	b.calls = append(b.calls, r)
	return client.CallResponse{Body: []byte("answer"), Runner: "r1"}, b.err
}

func (b *backend) MaxBodySize(model.ServiceID) model.Bytes { return 1 << 10 }

func (b *backend) Config(context.Context) (model.ConfigResponse, error) { return b.config, b.err }

func (b *backend) Publish(_ context.Context, p model.PublishRequest) (model.ConfigVersion, error) {
	b.published = append(b.published, p)
	return b.config.Version + 1, b.refusal
}

func (b *backend) Status(context.Context) (model.HostStatus, error) {
	return model.HostStatus{
		Host: "a-e1", FailureDomain: "a", Ready: true, Leader: "a-e1", Role: model.RoleLeader, ConfigVersion: 3,
		Workspaces: []model.WorkspaceStatus{{Workspace: "w", Queued: 2, Quota: 64}},
		Workers:    []model.WorkerStatus{{Worker: "a-r1-0", Rack: "r1", Health: "live"}},
		Peers:      []model.PeerStatus{{Host: "b-e1", FailureDomain: "b", Live: true}},
	}, b.err
}

func (b *backend) Drain() { b.drained = true }

// result is what one run of a command left behind.
type result struct {
	code     int
	out, err string
}

// execute runs a command against the backend.
func execute(t *testing.T, b *backend, token string, args ...string) result {
	t.Helper()
	s := httptest.NewServer((&server.Server{Backend: b, Logger: hclog.NewNullLogger(), MetricsHandler: http.NotFoundHandler()}).Handler())
	defer s.Close()
	t.Setenv("CHESTNUTMUX_SERVER", s.URL)
	t.Setenv("CHESTNUTMUX_TOKEN", token)
	return command(t, args...)
}

func command(t *testing.T, args ...string) result {
	t.Helper()
	var out, errs bytes.Buffer
	code := run(&env{ctx: t.Context(), in: strings.NewReader(`{"from":"stdin"}`), out: &out, err: &errs}, args)
	return result{code, out.String(), errs.String()}
}

// Guards against scripts that take a refusal, an unknown outcome or a conflict for something else.
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
			b := &backend{err: &model.Error{Kind: c.kind, Outcome: c.outcome, Message: "it went wrong", Remedy: "do this"}}
			r := execute(t, b, "caller", "call", "s")
			is.Equal(r.code, c.want)
			is.True(strings.Contains(r.err, "it went wrong; do this"))
			is.Equal(r.out, "")
		})
	}
}

// Guards against usage errors that print a page, name no remedy or exit with another code.
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
			r := command(t, c.args...)
			is.Equal(r.code, ExitUsage)
			is.True(strings.Contains(r.err, c.remedy)) // the message names the remedy
			is.Equal(strings.Count(r.err, "\n"), 1)    // one line
			is.Equal(r.out, "")
		})
	}
}

// Guards against a file of jobs that is cut at the first refusal, and progress among the results.
func TestSubmitFile(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "jobs.json")
	is.NoErr(os.WriteFile(file, []byte(`[{"id":"a","class":"c"},{"id":"b","class":"unknown-class"},{"class":"c"}]`), 0o600))
	b := &backend{}
	r := execute(t, b, "caller", "submit", "--file", file, "--json")
	is.Equal(r.code, ExitUsage)
	is.True(strings.Contains(r.err, "job b"))
	is.Equal(len(b.jobs), 2)
	is.True(b.jobs[1].Spec.ID != "")
	d := json.NewDecoder(strings.NewReader(r.out))
	for range 2 {
		var j model.Job
		is.NoErr(d.Decode(&j))
	}
}

// Guards against a failed job that looks like success to a script.
func TestSubmitWait(t *testing.T) {
	is := is.New(t)
	r := execute(t, &backend{}, "caller", "submit", "--class", "c", "--id", "good", "--wait")
	is.Equal(r.code, ExitOK)
	is.True(strings.Contains(r.out, "finished") && !strings.Contains(r.out, "queued"))
	is.True(strings.Contains(r.err, "queued"))
	r = execute(t, &backend{}, "caller", "submit", "--class", "c", "--id", "bad", "--wait")
	is.Equal(r.code, ExitFailure)
	is.True(strings.Contains(r.err, "exit status 1"))
}

// Guards against cancelling jobs that have ended.
func TestCancelAll(t *testing.T) {
	is := is.New(t)
	b := &backend{jobs: []model.Job{
		{Spec: model.JobSpec{ID: "w:a"}, State: model.JobQueued},
		{Spec: model.JobSpec{ID: "w:b"}, State: model.JobFinished},
		{Spec: model.JobSpec{ID: "w:c"}, State: model.JobRunning},
	}}
	r := execute(t, b, "caller", "cancel", "--all", "--json")
	is.Equal(r.code, ExitOK)
	is.Equal(b.cancelled, []model.JobID{"w:a", "w:c"})
	is.Equal(r.out, `{"cancelled":["a","c"]}`+"\n")
}

// Guards against a base that is not sent, and against publishing what is in force already.
func TestPublishAndDiff(t *testing.T) {
	is := is.New(t)
	b := &backend{config: model.ConfigResponse{Version: 7}}
	r := execute(t, b, "operator", "diff", config)
	is.Equal(r.code, ExitOK)
	is.True(strings.Contains(r.out, "against version 7\n") && strings.Contains(r.out, "+ workspace bridal"))
	is.Equal(len(b.published), 0)
	r = execute(t, b, "operator", "publish", "--base", "5", "--json", config)
	is.Equal(r.code, ExitOK)
	is.Equal(b.published[0].BaseVersion, model.ConfigVersion(5))
	set, err := readSet(&env{}, config)
	is.NoErr(err)
	b.config.Config = set
	r = execute(t, b, "operator", "publish", config)
	is.Equal(r.out, "version 7 in force, 0 objects changed\n")
	is.Equal(len(b.published), 1)
	b.config.Config = model.ConfigSet{}
	b.refusal = &model.Error{Kind: model.ErrorKindInvalid, Outcome: model.OutcomeNotRun, Message: "1 fault", Faults: []model.ConfigFault{
		{Kind: model.ObjectKindWorkspace, Name: "bridal", Field: "quota", Message: "too low", Remedy: "raise it"},
	}}
	r = execute(t, b, "operator", "publish", config)
	is.Equal(r.code, ExitUsage)
	is.True(strings.HasSuffix(r.err, ": workspace bridal: quota: too low; raise it\n"))
	b.refusal = &model.Error{Kind: model.ErrorKindConflict, Outcome: model.OutcomeNotRun, Message: "workspace bridal was changed by x in version 6"}
	is.Equal(execute(t, b, "operator", "publish", config).code, ExitConflict)
}

// Guards against a view that shows another object, and against a missing one that looks empty.
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
			b := &backend{jobs: []model.Job{{Spec: model.JobSpec{ID: "w:j"}, State: model.JobQueued}}}
			r := execute(t, b, c.token, append([]string{"status"}, c.args...)...)
			is.True(strings.Contains(r.out, c.want))
			is.Equal(r.code != ExitOK, c.want == "")
			is.Equal(r.err != "", c.want == "")
		})
	}
}

// Guards against commands that do nothing or print nothing.
func TestOtherCommands(t *testing.T) {
	is := is.New(t)
	b := &backend{}
	is.True(strings.Contains(execute(t, b, "caller", "explain", "j").out, "no room\nwait\n"))
	is.Equal(execute(t, b, "caller", "call", "--repeat", "--request-id", "r", "s", "-").out, "answer\n")
	is.Equal(string(b.calls[0].Body), `{"from":"stdin"}`)
	is.True(b.calls[0].IsRetry)
	is.Equal(execute(t, b, "operator", "drain").code, ExitOK)
	is.True(b.drained)
	is.Equal(execute(t, b, "operator", "log-level", "debug").code, ExitOK)
	is.Equal(command(t, "version", "--json").out, `{"version":"`+version+`"}`+"\n")
	is.Equal(command(t, "check", config, "--json").out, `{"faults":[]}`+"\n")
}
