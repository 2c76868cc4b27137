package server

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/bodyreader"
	"chestnutmux.example/chestnutmux/pkg/client"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// fakeBackend keeps jobs in memory. The methods that it does not implement panic.
type fakeBackend struct {
	Backend
	jobs      map[model.JobID]model.Job
	calls     []AuthenticatedCall
	hangCalls bool // Call waits until the context ends
}

func (b *fakeBackend) Authenticate(token string) (Identity, bool) {
	if token == "operator" {
		return Identity{Operator: "o"}, true
	}
	ws, ok := strings.CutPrefix(token, "caller-")
	return Identity{Workspace: model.WorkspaceID(ws), Caller: "c"}, ok
}

func (b *fakeBackend) CheckReady() error { return nil }

func (b *fakeBackend) Submit(_ context.Context, spec model.JobSpec) (model.Job, error) {
	if existing, ok := b.jobs[spec.ID]; ok {
		return existing, &model.Error{Outcome: model.OutcomeNotRun, Kind: model.ErrorKindConflict, Message: "another job has the id " + string(spec.ID)}
	}
	b.jobs[spec.ID] = model.Job{Spec: spec, State: model.JobQueued}
	return b.jobs[spec.ID], nil
}

func (b *fakeBackend) Job(_ context.Context, ws model.WorkspaceID, id model.JobID, _ time.Time) (model.Job, error) {
	if j, ok := b.jobs[id]; ok && j.Spec.Workspace == ws {
		return j, nil
	}
	return model.Job{}, &model.Error{Kind: model.ErrorKindNotFound, Message: "no job " + string(id) + " in the workspace", Remedy: "check the id"}
}

func (b *fakeBackend) Jobs(_ context.Context, ws model.WorkspaceID) (list []model.Job, err error) {
	for _, j := range b.jobs {
		if j.Spec.Workspace == ws {
			list = append(list, j)
		}
	}
	return list, nil
}

func (b *fakeBackend) Cancel(ctx context.Context, ws model.WorkspaceID, id model.JobID) error {
	_, err := b.Job(ctx, ws, id, time.Time{})
	return err
}

func (b *fakeBackend) Explain(ctx context.Context, ws model.WorkspaceID, id model.JobID) (model.Explanation, error) {
	_, err := b.Job(ctx, ws, id, time.Time{})
	return model.Explanation{Job: id, Reason: "it waits behind the reservation of job red:secret, and gang blue:night/1 is stopping"}, err
}

func (b *fakeBackend) Call(ctx context.Context, r AuthenticatedCall) (client.CallResponse, error) {
	if b.hangCalls {
		<-ctx.Done()
		return client.CallResponse{}, ctx.Err()
	}
	b.calls = append(b.calls, r)
	return client.CallResponse{Body: []byte("ok")}, nil
}

func (b *fakeBackend) MaxBodyBytes(model.ServiceID) model.Bytes { return 64 }

func (b *fakeBackend) Publish(_ context.Context, p model.PublishRequest) (model.ConfigVersion, error) {
	return p.BaseVersion + 1, nil
}

func (b *fakeBackend) Status(context.Context) (model.HostStatus, error) {
	return model.HostStatus{Host: "e1", Workspaces: []model.WorkspaceStatus{{Workspace: "red"}}}, nil
}

func newTestServer(b *fakeBackend) *Server {
	if b.jobs == nil {
		b.jobs = map[model.JobID]model.Job{}
	}
	metrics := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"outcomes":{"red/c":1}}`) })
	return &Server{Backend: b, Logger: hclog.NewNullLogger(), MetricsHandler: metrics, Bodies: &bodyreader.Reader{}}
}

// startServer starts a server with short timeouts on the loopback interface and returns its address.
func startServer(t *testing.T, b *fakeBackend) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	httpServer := newTestServer(b).newHTTPServer(timeouts{header: 100 * time.Millisecond, read: 200 * time.Millisecond, write: time.Minute, idle: time.Minute})
	done := make(chan error)
	go func() { done <- httpServer.Serve(WrapListener(l)) }()
	t.Cleanup(func() {
		_ = httpServer.Close()
		<-done
	})
	return l.Addr().String()
}

// sendRaw sends raw bytes, optionally closes the write side, and returns the status line and the error in the response.
func sendRaw(t *testing.T, addr, raw string, halfClose bool) (string, model.Error) {
	t.Helper()
	is := is.New(t)
	c, err := net.Dial("tcp", addr)
	is.NoErr(err)
	defer c.Close()
	is.NoErr(c.SetDeadline(time.Now().Add(20 * time.Second)))
	_, _ = io.WriteString(c, raw)
	if halfClose {
		is.NoErr(c.(*net.TCPConn).CloseWrite())
	}
	response, err := io.ReadAll(c)
	is.NoErr(err)
	head, body, _ := strings.Cut(string(response), "\r\n\r\n")
	status, _, _ := strings.Cut(head, "\r\n")
	var e model.Error
	is.NoErr(json.Unmarshal([]byte(body), &e)) // the body is exactly one *model.Error
	is.True(e.Kind != "" && e.Message != "" && e.Remedy != "")
	return status, e
}

// authHeaders are the headers of a raw request of a caller of the workspace red.
const authHeaders = "Host: h\r\nConnection: close\r\nAuthorization: Bearer caller-red\r\n"

// Guards against malformed, oversized, slow or half-closed requests that get no *model.Error, keep a connection open or reach
// the backend.
func TestMalformedRequestsGetTypedErrors(t *testing.T) {
	call := "POST /v1/services/s/call HTTP/1.1\r\n" + authHeaders
	for name, c := range map[string]struct {
		raw       string
		halfClose bool
		status    string
		kind      model.ErrorKind
	}{
		"no HTTP":              {"hello\r\n\r\n", false, "400", model.ErrorKindInvalid},
		"bad header":           {"GET /status HTTP/1.1\r\nHost : h\r\n\r\n", false, "400", model.ErrorKindInvalid},
		"large header":         {"GET /status HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 3*maxHeaderBytes) + "\r\n\r\n", false, "431", model.ErrorKindTooLarge},
		"slow header":          {"GET /status HTTP/1.1\r\nHost: h\r\n", false, "408", model.ErrorKindDeadline},
		"slow body":            {call + "Request-Id: r\r\nContent-Length: 10\r\n\r\n12345", false, "400", model.ErrorKindInvalid},
		"half-closed body":     {call + "Request-Id: r\r\nContent-Length: 10\r\n\r\n12345", true, "400", model.ErrorKindInvalid},
		"half-closed response": {call + "Request-Id: hang\r\nContent-Length: 2\r\n\r\n{}", true, "502", model.ErrorKindUpstream},
		"large body":           {call + "Request-Id: r\r\nContent-Length: 65\r\n\r\n" + strings.Repeat("x", 65), false, "413", model.ErrorKindTooLarge},
		"no id":                {call + "Content-Length: 2\r\n\r\n{}", false, "400", model.ErrorKindInvalid},
		"long id":              {call + "Request-Id: " + strings.Repeat("x", 129) + "\r\nContent-Length: 2\r\n\r\n{}", false, "400", model.ErrorKindInvalid},
		"bad flag":             {call + "Request-Id: r\r\nIdempotent: perhaps\r\nContent-Length: 2\r\n\r\n{}", false, "400", model.ErrorKindInvalid},
		"passed deadline":      {call + "Request-Id: r\r\nDeadline-Ms: 0\r\nContent-Length: 2\r\n\r\n{}", false, "504", model.ErrorKindDeadline},
		"no JSON":              {"POST /v1/jobs HTTP/1.1\r\n" + authHeaders + "Content-Length: 2\r\n\r\n{]", false, "400", model.ErrorKindInvalid},
		"unknown field":        {"POST /v1/jobs HTTP/1.1\r\n" + authHeaders + "Content-Length: 11\r\n\r\n{\"klass\":\"\"}", false, "400", model.ErrorKindInvalid},
		"two values":           {"POST /v1/jobs HTTP/1.1\r\n" + authHeaders + "Content-Length: 5\r\n\r\n{} {}", false, "400", model.ErrorKindInvalid},
		"half-closed job":      {"POST /v1/jobs HTTP/1.1\r\n" + authHeaders + "Content-Length: 100\r\n\r\n{\"class\":", true, "400", model.ErrorKindInvalid},
		"bad wait":             {"GET /v1/jobs/j?wait-ms=x HTTP/1.1\r\n" + authHeaders + "\r\n", false, "400", model.ErrorKindInvalid},
		"no path":              {"GET /v2/jobs HTTP/1.1\r\n" + authHeaders + "\r\n", false, "404", model.ErrorKindNotFound},
		"wrong method":         {"PUT /v1/jobs HTTP/1.1\r\n" + authHeaders + "Content-Length: 0\r\n\r\n", false, "405", model.ErrorKindInvalid},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := &fakeBackend{hangCalls: name == "half-closed response"}
			status, e := sendRaw(t, startServer(t, b), c.raw, c.halfClose)
			is.True(strings.Contains(status, " "+c.status+" "))
			is.Equal(e.Kind, c.kind)
			is.Equal(len(b.calls)+len(b.jobs), 0)
		})
	}
}

// serveRequest passes a request to the handler without a network connection.
func serveRequest(s *Server, method, path, token, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	r.Header.Set(client.HeaderRequestID, "r")
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, r)
	return w
}

// Guards against callers who can read, cancel, find out or block the jobs of another workspace.
func TestWorkspacesAreIsolated(t *testing.T) {
	is := is.New(t)
	b := &fakeBackend{}
	s := newTestServer(b)
	is.Equal(serveRequest(s, "POST", "/v1/jobs", "caller-red", `{"id":"secret","class":"c","caller":"other"}`).Code, http.StatusAccepted)
	is.Equal(b.jobs["red:secret"].Spec.Caller, model.CallerID("c")) // the token determines the caller
	for _, route := range []struct{ method, path string }{
		{"GET", "/v1/jobs/%s"}, {"DELETE", "/v1/jobs/%s"}, {"GET", "/v1/jobs/%s/explain"},
	} {
		existing := serveRequest(s, route.method, fmt.Sprintf(route.path, "secret"), "caller-blue", "")
		absent := serveRequest(s, route.method, fmt.Sprintf(route.path, "absent"), "caller-blue", "")
		is.Equal(existing.Code, http.StatusNotFound)
		is.Equal(strings.ReplaceAll(existing.Body.String(), "secret", "absent"), absent.Body.String()) // an existing job of another workspace looks like an absent one
		is.Equal(serveRequest(s, route.method, fmt.Sprintf(route.path, "red:secret"), "caller-blue", "").Code, http.StatusNotFound)
	}
	is.True(!strings.Contains(serveRequest(s, "GET", "/v1/jobs", "caller-blue", "").Body.String(), "secret"))
	w := serveRequest(s, "POST", "/v1/jobs", "caller-blue", `{"id":"secret","class":"c"}`) // the id is free in this workspace
	is.Equal(w.Code, http.StatusAccepted)
	is.True(strings.Contains(w.Body.String(), `"id":"secret"`))
	is.Equal(serveRequest(s, "POST", "/v1/jobs", "caller-blue", `{"class":"c","workspace":"red"}`).Code, http.StatusForbidden)
	w = serveRequest(s, "GET", "/v1/jobs/secret/explain", "caller-blue", "")
	is.True(strings.Contains(w.Body.String(), "behind the reservation of job of another workspace, and gang night/1 is"))
	is.Equal(serveRequest(s, "POST", "/v1/services/s/call", "caller-blue", "{}").Code, http.StatusOK)
	is.Equal(b.calls[0].Workspace, model.WorkspaceID("blue"))
}

// Guards against the outcome not-run for a refused resubmission, although an earlier submission may have been accepted.
func TestRefusedResubmissionIsUnknown(t *testing.T) {
	for header, want := range map[string]model.Outcome{"true": model.OutcomeUnknown, "": model.OutcomeNotRun} {
		is := is.New(t)
		s := newTestServer(&fakeBackend{jobs: map[model.JobID]model.Job{"red:j": {}}})
		r := httptest.NewRequest("POST", "/v1/jobs", strings.NewReader(`{"id":"j"}`))
		r.Header = http.Header{"Authorization": {"Bearer caller-red"}, client.HeaderRepeat: {header}}
		w := httptest.NewRecorder()
		s.Handler().ServeHTTP(w, r)
		var e model.Error
		is.NoErr(json.Unmarshal(w.Body.Bytes(), &e))
		is.Equal(e.Outcome, want)
	}
}

// Guards against callers who can publish, drain or read the load of other tenants, and operators who can submit work.
func TestTokensAreLimitedToTheirRole(t *testing.T) {
	s := newTestServer(&fakeBackend{})
	operator := []string{"GET /v1/config", "POST /v1/config", "GET /v1/status", "PUT /v1/log-level", "POST /v1/drain", "GET /debug/vars"}
	caller := []string{"POST /v1/jobs", "GET /v1/jobs", "GET /v1/jobs/j", "DELETE /v1/jobs/j", "GET /v1/jobs/j/explain", "POST /v1/services/s/call"}
	for token, routes := range map[string][]string{"caller-red": append(operator, "GET /status"), "operator": caller} {
		for _, route := range routes {
			is := is.New(t)
			method, path, _ := strings.Cut(route, " ")
			is.Equal(serveRequest(s, method, path, token, "{}").Code, http.StatusForbidden)
			is.Equal(serveRequest(s, method, path, "unknown", "{}").Code, http.StatusUnauthorized)
			if path != "/status" {
				is.Equal(serveRequest(s, method, path, "", "{}").Code, http.StatusUnauthorized)
			}
		}
	}
}

// Guards against a status page that shows workspaces without a token, or hides them from an operator.
func TestStatusPageHidesWorkspacesWithoutToken(t *testing.T) {
	is := is.New(t)
	s := newTestServer(&fakeBackend{})
	w := serveRequest(s, "GET", "/status", "", "")
	is.Equal(w.Code, http.StatusOK)
	is.True(strings.HasPrefix(w.Body.String(), "ready\n") && !strings.Contains(w.Body.String(), "red"+" ") && !strings.Contains(w.Body.String(), "e1"))
	is.True(strings.Contains(serveRequest(s, "GET", "/status", "operator", "").Body.String(), "\nred  "))
}

// fuzzRoute sends bodies to a route. Each response must have the status success or contain a *model.Error with a remedy.
func fuzzRoute(f *testing.F, method, path, token string, success int, seeds ...string) {
	f.Helper()
	for _, seed := range seeds {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, body string) {
		w := serveRequest(newTestServer(&fakeBackend{}), method, path, token, body)
		var e model.Error
		switch {
		case w.Code == success:
		case json.Unmarshal(w.Body.Bytes(), &e) != nil || e.Kind == "" || e.Remedy == "":
			t.Fatalf("status %d with %q", w.Code, w.Body)
		}
	})
}

// Guards against a panic or an error that is not a *model.Error for an arbitrary job.
func FuzzSubmit(f *testing.F) {
	fuzzRoute(f, "POST", "/v1/jobs", "caller-red", http.StatusAccepted,
		`{"id":"a","class":"c","shape":{"workers":2,"accelerators":8,"span":"rack"},"run-ms":5,"payload":{"x":[1]}}`, `{}`, `{} {}`, `[`, `{"id":1}`, `null`)
}

// Guards against a panic or an error that is not a *model.Error for an arbitrary publish request.
func FuzzPublish(f *testing.F) {
	fuzzRoute(f, "POST", "/v1/config", "operator", http.StatusOK,
		`{"base":1,"schema":1,"changes":[{"kind":"workspace","name":"a","spec":{"quota":8}},{"kind":"class","name":"b"}]}`, `{"changes":null}`, `{"base":-1e9}`)
}

// Guards against a panic or an error that is not a *model.Error for an arbitrary log level.
func FuzzLogLevel(f *testing.F) {
	fuzzRoute(f, "PUT", "/v1/log-level", "operator", http.StatusOK, `{"level":"debug"}`, `{"level":""}`, `"debug"`)
}

// Guards against a panic or values beyond the limits for arbitrary headers and query parameters.
func FuzzParseCall(f *testing.F) {
	f.Add("r", "true", "false", "1000", "5")
	f.Add("", "perhaps", "1", "-1", "-5")
	f.Add(strings.Repeat("x", 200), "", "", "99999999999999999999", "99999999999999999999")
	f.Fuzz(func(t *testing.T, id, idempotent, isRetry, deadline, wait string) {
		r := httptest.NewRequest("POST", "/v1/services/s/call", nil)
		r.Header = http.Header{
			client.HeaderRequestID: {id}, client.HeaderIdempotent: {idempotent}, client.HeaderRepeat: {isRetry}, client.HeaderDeadline: {deadline},
		}
		if req, err := parseCall(r, Identity{Workspace: "red"}); err == nil && (req.RequestID == "" || time.Until(req.Deadline) > maxCallTimeout) {
			t.Fatal(req)
		}
		r.URL.RawQuery = "wait-ms=" + wait
		if d, err := parseWait(r); err == nil && (d < 0 || d > maxPollWait) {
			t.Fatal(d)
		}
	})
}
