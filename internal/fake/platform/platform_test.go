package platform

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/dispatcher"
	"chestnutmux.example/chestnutmux/internal/hostclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

func start(t *testing.T) *Platform {
	p, err := Start(Deployment{
		RelayIP: "127.0.0.1",
		Domains: []Domain{{
			ID: "d", Region: "kartli",
			Racks:   []Rack{{ID: "r", Rack: model.Rack{Workers: 2, Accelerators: 8, Cores: 32, MemoryMB: 1024}}},
			Runners: []RunnerGroup{{Service: "match", Count: 1}},
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := p.Close(); err != nil {
			t.Error(err)
		}
	})
	return p
}

// do sends a request and returns the status, 0 without an answer, and decodes the answer into out unless nil.
func do(method, url, body string, out any) int {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0
	}
	req.Header.Set("Request-Id", "q")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	raw, _ := io.ReadAll(resp.Body)
	if out != nil {
		_ = json.NewDecoder(bytes.NewReader(raw)).Decode(out)
	}
	return resp.StatusCode
}

func listed(t *testing.T, p *Platform) map[model.HostID]hostclient.Host {
	var list hostclient.HostList
	if do(http.MethodGet, p.HostListURL()+"/v1/hosts", "", &list) != http.StatusOK {
		t.Fatal("the host list did not answer")
	}
	out := map[model.HostID]hostclient.Host{}
	for _, h := range list.Hosts {
		out[h.ID] = h
	}
	return out
}

// Guards against faults that do not reach the fake with the given name.
func TestFaultsByName(t *testing.T) {
	is := is.New(t)
	p := start(t)
	records := p.LogURL() + "/v1/streams/jobs/records"
	admin := p.AdminURL() + "/admin/fakes/"
	is.Equal(do(http.MethodPost, records, `{"records":[{"key":"a","value":"eA=="}]}`, nil), 200)
	is.Equal(do(http.MethodPost, admin+"log/faults", `{"down":true}`, nil), 200)
	is.Equal(do(http.MethodPost, records, `{"records":[{"key":"b","value":"eA=="}]}`, nil), 503)
	is.Equal(do(http.MethodPost, admin+"log/faults", `{}`, nil), 200)
	var stats map[string]int64
	is.Equal(do(http.MethodGet, admin+"log/stats", "", &stats), 200)
	is.Equal(stats["appends"], int64(1))
	is.Equal(stats["requests"], int64(2))
	is.Equal(do(http.MethodPost, admin+"nobody/faults", `{}`, nil), 404)
	is.Equal(do(http.MethodPost, admin+"log/restart", ``, nil), 200)
	is.Equal(len(p.Log.Records("jobs")), 1) // the log is durable
	var list map[string][]Endpoint
	is.Equal(do(http.MethodGet, p.AdminURL()+"/admin/fakes", "", &list), 200)
	is.Equal(len(list["fakes"]), 5)
}

// Guards against a dead worker that answers, and a restarted one that keeps its runs, its fence or its incarnation.
func TestWorkerDiesAndComesBack(t *testing.T) {
	is := is.New(t)
	p := start(t)
	base := "http://" + listed(t, p)["d-r-1"].Addr + "/v1/"
	admin := p.AdminURL() + "/admin/fakes/d-r-1"
	start := `{"run":{"task":{"job":"j","occurrence":0,"step":0,"index":0},"number":1},"payload":"{\"run-ms\":60000}","fence":2,"lease-until-ms":60000}`
	is.Equal(do(http.MethodPost, base+"start", start, nil), 200)
	var before, after dispatcher.Report
	is.Equal(do(http.MethodPost, base+"hold", `{"fence":2}`, &before), 200)
	is.Equal(len(before.Running), 1)
	is.Equal(do(http.MethodPost, base+"hold", `{"fence":1}`, nil), 409)
	is.Equal(do(http.MethodDelete, admin, "", nil), 200)
	is.Equal(do(http.MethodPost, base+"hold", `{"fence":2}`, nil), 0)
	is.Equal(do(http.MethodPost, admin+"/restart", "", nil), 200)
	is.Equal(do(http.MethodPost, base+"hold", `{"fence":1}`, &after), 200)
	is.True(after.Incarnation != before.Incarnation)
	is.Equal(len(after.Running)+len(after.Ended), 0)
	is.Equal(p.Fleet.LedgerReport().StartsByTask["j/0/0/0"], 1)
}

// Guards against hosts whose state in the list cannot be set, and runners that do not say that they leave.
func TestHostsLeave(t *testing.T) {
	is := is.New(t)
	p := start(t)
	host := p.AdminURL() + "/admin/hosts/"
	is.Equal(do(http.MethodPut, host+"d-match-0", `{"state":"leaving"}`, nil), 200)
	is.Equal(listed(t, p)["d-match-0"].State, hostclient.StateLeaving)
	req := "http://" + listed(t, p)["d-match-0"].Addr + "/v1/run"
	is.Equal(do(http.MethodPost, req, `{"run-ms":1}`, nil), 200)
	is.Equal(p.RunCounts()["q"], 1)
	var stats map[string]int64
	do(http.MethodGet, p.AdminURL()+"/admin/fakes/d-match-0/stats", "", &stats)
	is.Equal(stats["runs-while-leaving"], int64(1))
	is.Equal(do(http.MethodDelete, host+"d-match-0", "", nil), 200)
	is.Equal(do(http.MethodDelete, host+"d-match-0", "", nil), 404)
	is.Equal(do(http.MethodPut, host+"new", `{"state":"live"}`, nil), 404)
	is.Equal(do(http.MethodPut, host+"new", `{"addr":"127.0.0.1:1","domain":"d"}`, nil), 200)
	is.Equal(listed(t, p)["new"].Region, model.RegionID("kartli"))
}

// Guards against partitions that cut the wrong entry hosts off from the log, or cannot be healed.
func TestPartition(t *testing.T) {
	is := is.New(t)
	p := start(t)
	for _, id := range []model.HostID{"a", "b"} {
		is.NoErr(p.PutEntryHost(EntryHost{ID: id, Addr: "127.0.0.1:1", Domain: "d"}))
	}
	reads := func(id model.HostID) bool {
		for _, e := range p.ReadyLine().Relays {
			if e.Name == RelayName(id) {
				return do(http.MethodGet, "http://"+e.Addr+"/v1/streams/jobs/newest", "", nil) == 200
			}
		}
		return false
	}
	is.True(reads("a") && reads("b"))
	is.Equal(do(http.MethodPost, p.AdminURL()+"/admin/partition", `{"hosts":["a"]}`, nil), 200)
	is.True(!reads("a"))
	is.True(reads("b"))
	is.Equal(do(http.MethodDelete, p.AdminURL()+"/admin/partition", "", nil), 200)
	is.True(reads("a"))
}

// Guards against deployment files with faults that start something else than meant, or listen outside loopback.
func TestLoadRefusesFaultyFiles(t *testing.T) {
	for _, text := range []string{
		`{"admn":""}`, `{`, `{"admin":"0.0.0.0:0"}`, `{"admin":"127.0.0.1"}`, `{"relays":"192.0.2.1"}`,
		`{"failure-domains":[{"id":"d"},{"id":"d"}]}`, `{"failure-domains":[{"id":"d","ip":"192.0.2.1"}]}`,
		`{"entry-hosts":[{"id":"a","domain":"x"}]}`,
	} {
		is := is.New(t)
		path := filepath.Join(t.TempDir(), "d.hujson")
		is.NoErr(os.WriteFile(path, []byte(text), 0o600))
		_, err := Load(path)
		is.True(err != nil) // text
	}
}

// Guards against a failed start that leaves listeners behind.
func TestFailedStartClosesListeners(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	free := ln.Addr().String()
	ln.Close()
	d := Deployment{Log: LogConfig{Addr: free}, HostList: HostListConfig{Addr: free}}
	_, err = Start(d)
	is.True(err != nil)
	ln, err = net.Listen("tcp", free)
	is.NoErr(err)
	ln.Close()
}
