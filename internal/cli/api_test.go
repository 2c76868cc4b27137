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

// findFreeAddr returns a loopback address with a free port. The port is below the ephemeral range, because otherwise an
// outgoing connection could take it before the host listens. portsTried counts the ports that were tried, so that no port is
// returned twice.
func findFreeAddr(t *testing.T, portsTried *int) string {
	t.Helper()
	for range 2000 {
		*portsTried++
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 30_000+(os.Getpid()*31+*portsTried)%2000))
		if err == nil {
			_ = l.Close()
			return l.Addr().String()
		}
	}
	t.Fatal("no free port")
	return ""
}

// startHosts starts the fakes of deploy/kartli and one entry host in each of the failure domains kartli-a and kartli-b. It
// returns the URLs of the entry hosts.
func startHosts(t *testing.T) []string {
	t.Helper()
	is := is.New(t)
	deployment, err := platform.Load("../../deploy/kartli/fakes.hujson")
	is.NoErr(err)
	fakes, err := platform.Start(deployment)
	is.NoErr(err)
	t.Cleanup(func() { is.NoErr(fakes.Close()) })
	s, err := settings.Load("../../deploy/kartli/entry.hujson")
	is.NoErr(err)
	s.LogURL, s.HostListURL = fakes.LogURL(), fakes.HostListURL()
	s.LeaseDurationMS = 5000
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	var urls []string
	portsTried := 0
	for _, d := range []model.DomainID{"kartli-a", "kartli-b"} {
		s.HostID, s.FailureDomain = model.HostID(d+"-e1"), d
		s.ListenAddr = findFreeAddr(t, &portsTried)
		is.NoErr(fakes.PutEntryHost(platform.EntryHost{ID: s.HostID, Addr: s.ListenAddr, Domain: d}))
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

// eventually calls f until it succeeds. It fails the test after a minute, which is far longer than any f should take.
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

// publishExample publishes the example configuration with the publish command and waits until every host is ready and knows
// a leader and the other hosts.
func publishExample(t *testing.T, urls []string) {
	t.Helper()
	t.Setenv("CHESTNUTMUX_TOKEN", "demo-operator-1")
	t.Setenv("CHESTNUTMUX_SERVER", urls[0])
	eventually(t, func() error {
		if r := runCommand(t, "publish", configPath); r.exitCode != ExitOK {
			return fmt.Errorf("publish: %s", r.stderr)
		}
		return nil
	})
	for _, url := range urls {
		c := &client.Client{BaseURL: url, Token: "demo-operator-1"}
		eventually(t, func() error {
			s, err := c.Status(t.Context())
			if err == nil && (s.Leader == "" || len(s.Peers) < 2 || !s.Ready) {
				err = fmt.Errorf("host %s has leader %q and knows %d hosts", s.Host, s.Leader, len(s.Peers))
			}
			return err
		})
	}
}

// Guards against responses of an entry host that differ from those documented in docs/api.md.
func TestDocumentedRequests(t *testing.T) {
	urls := startHosts(t)
	publishExample(t, urls)
	blocks := fencedBlocks(t, "../../docs/api.md", "http")
	if len(blocks) < 30 || len(blocks)%2 != 0 {
		t.Fatalf("%d blocks do not form pairs of request and response", len(blocks))
	}
	for i := 0; i < len(blocks); i += 2 {
		line, _, _ := strings.Cut(blocks[i], "\n")
		if err := checkExample(t.Context(), urls[0], blocks[i], blocks[i+1]); err != nil {
			t.Errorf("example %d, %s: %v", i/2+1, line, err)
		}
	}
}

// Guards against an entry host that can explain a job only while it is the leader, or that explains a job to another workspace.
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
			explanation, err := c.Explain(t.Context(), "j")
			if err == nil && (explanation.Reason != "tasks of the job run or have run" || explanation.Leader == "") {
				err = fmt.Errorf("unexpected explanation from %s: %+v", url, explanation)
			}
			return err
		})
		_, err := (&client.Client{BaseURL: url, Token: "demo-atelier"}).Explain(t.Context(), "j")
		is.True(err != nil && strings.Contains(err.Error(), "no job j in the workspace"))
	}
}

// fencedBlocks returns the contents of the fenced code blocks of a language in a Markdown file.
func fencedBlocks(t *testing.T, path, language string) []string {
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

// parseMessage splits an HTTP request or response, as written in docs/api.md, into its first line, header and body.
func parseMessage(text string) (firstLine string, header http.Header, body string) {
	head, body, _ := strings.Cut(strings.TrimSpace(text), "\n\n")
	lines := strings.Split(head, "\n")
	header = http.Header{}
	for _, l := range lines[1:] {
		k, v, _ := strings.Cut(l, ": ")
		header.Set(k, v)
	}
	return lines[0], header, body
}

// checkExample sends the request and checks that status, header and body of the response are as documented.
func checkExample(ctx context.Context, baseURL, request, response string) error {
	requestLine, header, body := parseMessage(request)
	method, path, _ := strings.Cut(requestLine, " ")
	req, err := http.NewRequestWithContext(ctx, method, baseURL+path, strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header = header
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	statusLine, header, body := parseMessage(response)
	if statusLine != "HTTP/1.1 "+strconv.Itoa(resp.StatusCode) {
		return fmt.Errorf("%s instead of %s: %s", resp.Status, statusLine, data)
	}
	for k := range header {
		if got := resp.Header.Get(k); got != header.Get(k) {
			return fmt.Errorf("unexpected header %s: %q", k, got)
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
	return checkContains(got, want, "response")
}

// checkContains checks that got has all fields of want with equal values, at every level. The value "..." in want matches any
// value. path names got in the error.
func checkContains(got, want any, path string) error {
	fields, ok := want.(map[string]any)
	if !ok {
		if want != "..." && got != want {
			return fmt.Errorf("%s is %v instead of %v", path, got, want)
		}
		return nil
	}
	values, ok := got.(map[string]any)
	if !ok {
		return fmt.Errorf("%s is %v instead of an object", path, got)
	}
	for k, w := range fields {
		v, ok := values[k]
		if !ok {
			return fmt.Errorf("%s has no field %s", path, k)
		}
		if err := checkContains(v, w, path+"."+k); err != nil {
			return err
		}
	}
	return nil
}
