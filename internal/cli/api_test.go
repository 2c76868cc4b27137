package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/daemon"
	"chestnutmux.example/chestnutmux/internal/fake/platform"
	"chestnutmux.example/chestnutmux/internal/settings"
	"chestnutmux.example/chestnutmux/pkg/client"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// freeAddress finds a port below the ephemeral range, so that no connection takes it before the host listens.
func freeAddress(t *testing.T, tried *int) string {
	t.Helper()
	for range 2000 {
		*tried++
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 30_000+(os.Getpid()*31+*tried)%2000))
		if err == nil {
			_ = l.Close()
			return l.Addr().String()
		}
	}
	t.Fatal("no free port")
	return ""
}

// startHosts runs the fakes of deploy/kartli and one entry host in each of the first two failure domains.
func startHosts(t *testing.T) []string {
	t.Helper()
	is := is.New(t)
	deployment, err := platform.Load("../../deploy/kartli/fakes.hujson")
	is.NoErr(err)
	p, err := platform.Start(deployment)
	is.NoErr(err)
	t.Cleanup(func() { is.NoErr(p.Close()) })
	s, err := settings.Load("../../deploy/kartli/entry.hujson")
	is.NoErr(err)
	s.LogURL, s.HostListURL = p.LogURL(), p.HostListURL()
	s.TaskLease = 5000
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	var urls []string
	tried := 0
	for _, d := range []model.DomainID{"kartli-a", "kartli-b"} {
		s.HostID, s.FailureDomain = model.HostID(d+"-e1"), d
		s.ListenAddr = freeAddress(t, &tried)
		is.NoErr(p.PutEntryHost(platform.EntryHost{ID: s.HostID, Addr: s.ListenAddr, Domain: d}))
		urls = append(urls, "http://"+s.ListenAddr)
		go func(s settings.Settings) { done <- daemon.Run(ctx, s, hclog.NewNullLogger()) }(s)
	}
	t.Cleanup(func() {
		cancel()
		for range urls {
			is.NoErr(<-done)
		}
	})
	return urls
}

// eventually tries f until it succeeds; the bound is far above any expected time.
func eventually(t *testing.T, f func() error) {
	t.Helper()
	err := f()
	for end := time.Now().Add(time.Minute); err != nil && time.Now().Before(end); err = f() {
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// publishExample publishes the example configuration with the command line and waits until both hosts have it.
func publishExample(t *testing.T, urls []string) {
	t.Helper()
	t.Setenv("CHESTNUTMUX_TOKEN", "demo-operator-1")
	t.Setenv("CHESTNUTMUX_SERVER", urls[0])
	eventually(t, func() error {
		if r := command(t, "publish", config); r.code != ExitOK {
			return fmt.Errorf("publish: %s", r.err)
		}
		return nil
	})
	for _, url := range urls {
		c := &client.Client{BaseURL: url, Token: "demo-operator-1"}
		eventually(t, func() error {
			s, err := c.Status(t.Context())
			if err == nil && (s.Leader == "" || len(s.Peers) < 2 || !s.Ready) {
				err = fmt.Errorf("host %s follows %q and knows %d hosts", s.Host, s.Leader, len(s.Peers))
			}
			return err
		})
	}
}

// Guards against documented requests that the real entry host answers differently.
func TestDocumentedRequests(t *testing.T) {
	urls := startHosts(t)
	publishExample(t, urls)
	blocks := fenced(t, "../../docs/api.md", "http")
	if len(blocks) < 30 || len(blocks)%2 != 0 {
		t.Fatalf("%d blocks are no pairs of request and answer", len(blocks))
	}
	for i := 0; i < len(blocks); i += 2 {
		line, _, _ := strings.Cut(blocks[i], "\n")
		if err := checkExample(t.Context(), urls[0], blocks[i], blocks[i+1]); err != nil {
			t.Errorf("example %d, %s: %v", i/2+1, line, err)
		}
	}
}

// Guards against explanations that only the leader can give.
func TestExplainOnAnyHost(t *testing.T) {
	is := is.New(t)
	urls := startHosts(t)
	publishExample(t, urls)
	spec := model.JobSpec{
		ID: "j", Class: "overnight", Shape: model.Shape{Workers: 2, Accelerators: 8}, Payload: json.RawMessage(`{"run-ms":60000}`),
	}
	_, err := (&client.Client{BaseURL: urls[0], Token: "demo-tailor-1"}).Submit(t.Context(), spec)
	is.NoErr(err)
	for _, url := range urls {
		c := &client.Client{BaseURL: url, Token: "demo-tailor-1"}
		eventually(t, func() error {
			x, err := c.Explain(t.Context(), "j")
			if err == nil && (x.Reason != "tasks of the job run or have run" || x.Leader == "") {
				err = fmt.Errorf("%s explains: %+v", url, x)
			}
			return err
		})
		_, err := (&client.Client{BaseURL: url, Token: "demo-atelier"}).Explain(t.Context(), "j")
		is.True(err != nil && strings.Contains(err.Error(), "no job j in the workspace"))
	}
}

// fenced returns the fenced blocks of a language in a page.
func fenced(t *testing.T, path, language string) []string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	parts := strings.Split(string(data), "```")
	var blocks []string
	for i := 1; i < len(parts); i += 2 {
		if text, ok := strings.CutPrefix(parts[i], language+"\n"); ok {
			blocks = append(blocks, text)
		}
	}
	return blocks
}

// message is an HTTP request or answer as the page shows it.
func message(text string) (first string, header http.Header, body string) {
	head, body, _ := strings.Cut(strings.TrimSpace(text), "\n\n")
	lines := strings.Split(head, "\n")
	header = http.Header{}
	for _, l := range lines[1:] {
		k, v, _ := strings.Cut(l, ": ")
		header.Set(k, v)
	}
	return lines[0], header, body
}

func checkExample(ctx context.Context, base, request, answer string) error {
	first, header, body := message(request)
	method, path, _ := strings.Cut(first, " ")
	r, err := http.NewRequestWithContext(ctx, method, base+path, strings.NewReader(body))
	if err != nil {
		return err
	}
	r.Header = header
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	status, header, body := message(answer)
	if status != "HTTP/1.1 "+strconv.Itoa(resp.StatusCode) {
		return fmt.Errorf("%s instead of %s: %s", resp.Status, status, data)
	}
	for k := range header {
		if got := resp.Header.Get(k); got != header.Get(k) {
			return fmt.Errorf("header %s is %q", k, got)
		}
	}
	if body == "" {
		return nil
	}
	var want, got any
	if err := json.Unmarshal([]byte(body), &want); err != nil {
		return err
	}
	if err := json.Unmarshal(data, &got); err != nil {
		return err
	}
	return contains(got, want, "answer")
}

// contains checks that all fields that are wanted are there; "..." stands for any value.
func contains(got, want any, path string) error {
	fields, ok := want.(map[string]any)
	if !ok {
		if want != "..." && got != want {
			return fmt.Errorf("%s is %v instead of %v", path, got, want)
		}
		return nil
	}
	values, ok := got.(map[string]any)
	if !ok {
		return fmt.Errorf("%s is %v", path, got)
	}
	for k, w := range fields {
		v, ok := values[k]
		if !ok {
			return fmt.Errorf("%s has no field %s", path, k)
		}
		if err := contains(v, w, path+"."+k); err != nil {
			return err
		}
	}
	return nil
}
