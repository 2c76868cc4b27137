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

// startPlatform starts a platform with two workers, one runner and relays for entry hosts.
func startPlatform(t *testing.T) *Platform {
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

// send sends a request, decodes the response into out unless it is nil, and returns the status, or 0 if there is no response.
func send(method, url, body string, out any) int {
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

// listHosts returns the visible hosts by id.
func listHosts(t *testing.T, p *Platform) map[model.HostID]hostclient.Host {
	var list hostclient.HostList
	if send(http.MethodGet, p.HostListURL()+"/v1/hosts", "", &list) != http.StatusOK {
		t.Fatal("the host list did not respond")
	}
	out := map[model.HostID]hostclient.Host{}
	for _, h := range list.Hosts {
		out[h.ID] = h
	}
	return out
}

// Guards against admin requests for a named fake that fail to reach it, and against a log that loses records in a restart.
func TestFaultsByName(t *testing.T) {
	is := is.New(t)
	p := startPlatform(t)
	recordsURL := p.LogURL() + "/v1/streams/jobs/records"
	adminURL := p.AdminURL() + "/admin/fakes/"
	is.Equal(send(http.MethodPost, recordsURL, `{"records":[{"key":"a","value":"eA=="}]}`, nil), 200)
	is.Equal(send(http.MethodPost, adminURL+"log/faults", `{"down":true}`, nil), 200)
	is.Equal(send(http.MethodPost, recordsURL, `{"records":[{"key":"b","value":"eA=="}]}`, nil), 503)
	is.Equal(send(http.MethodPost, adminURL+"log/faults", `{}`, nil), 200)
	var stats map[string]int64
	is.Equal(send(http.MethodGet, adminURL+"log/stats", "", &stats), 200)
	is.Equal(stats["appends"], int64(1))
	is.Equal(stats["requests"], int64(2))
	is.Equal(send(http.MethodPost, adminURL+"nobody/faults", `{}`, nil), 404)
	is.Equal(send(http.MethodPost, adminURL+"log/restart", ``, nil), 200)
	is.Equal(len(p.Log.Records("jobs")), 1) // the log is durable
	var list map[string][]Endpoint
	is.Equal(send(http.MethodGet, p.AdminURL()+"/admin/fakes", "", &list), 200)
	is.Equal(len(list["fakes"]), 5)
}

// Guards against a killed worker that responds, and against a restarted one that keeps its runs, fencing token or incarnation.
func TestKillAndRestartWorker(t *testing.T) {
	is := is.New(t)
	p := startPlatform(t)
	workerURL := "http://" + listHosts(t, p)["d-r-1"].Addr + "/v1/"
	adminURL := p.AdminURL() + "/admin/fakes/d-r-1"
	body := `{"run":{"task":{"job":"j","occurrence":0,"step":0,"index":0},"number":1},"payload":"{\"run-ms\":60000}","fence":2,"lease-until-ms":60000}`
	is.Equal(send(http.MethodPost, workerURL+"start", body, nil), 200)
	var before, after dispatcher.Report
	is.Equal(send(http.MethodPost, workerURL+"hold", `{"fence":2}`, &before), 200)
	is.Equal(len(before.Running), 1)
	is.Equal(send(http.MethodPost, workerURL+"hold", `{"fence":1}`, nil), 409)
	is.Equal(send(http.MethodDelete, adminURL, "", nil), 200)
	is.Equal(send(http.MethodPost, workerURL+"hold", `{"fence":2}`, nil), 0)
	is.Equal(send(http.MethodPost, adminURL+"/restart", "", nil), 200)
	is.Equal(send(http.MethodPost, workerURL+"hold", `{"fence":1}`, &after), 200)
	is.True(after.Incarnation != before.Incarnation)
	is.Equal(len(after.Running)+len(after.Ended), 0)
	is.Equal(p.Fleet.LedgerReport().StartsByTask["j/0/0/0"], 1)
}

// Guards against list entries that cannot be changed, removed or added, and against a leaving runner that is not informed of its
// state.
func TestAdminChangesHostList(t *testing.T) {
	is := is.New(t)
	p := startPlatform(t)
	hostsURL := p.AdminURL() + "/admin/hosts/"
	is.Equal(send(http.MethodPut, hostsURL+"d-match-0", `{"state":"leaving"}`, nil), 200)
	is.Equal(listHosts(t, p)["d-match-0"].State, hostclient.StateLeaving)
	runURL := "http://" + listHosts(t, p)["d-match-0"].Addr + "/v1/run"
	is.Equal(send(http.MethodPost, runURL, `{"run-ms":1}`, nil), 200)
	is.Equal(p.RunCounts()["q"], 1)
	var stats map[string]int64
	send(http.MethodGet, p.AdminURL()+"/admin/fakes/d-match-0/stats", "", &stats)
	is.Equal(stats["runs-while-leaving"], int64(1))
	is.Equal(send(http.MethodDelete, hostsURL+"d-match-0", "", nil), 200)
	is.Equal(send(http.MethodDelete, hostsURL+"d-match-0", "", nil), 404)
	is.Equal(send(http.MethodPut, hostsURL+"new", `{"state":"live"}`, nil), 404)
	is.Equal(send(http.MethodPut, hostsURL+"new", `{"addr":"127.0.0.1:1","domain":"d"}`, nil), 200)
	is.Equal(listHosts(t, p)["new"].Region, model.RegionID("kartli"))
}

// Guards against partitions that separate the wrong entry hosts from the log, or that cannot be healed.
func TestPartition(t *testing.T) {
	is := is.New(t)
	p := startPlatform(t)
	for _, id := range []model.HostID{"a", "b"} {
		is.NoErr(p.PutEntryHost(EntryHost{ID: id, Addr: "127.0.0.1:1", Domain: "d"}))
	}
	canRead := func(id model.HostID) bool {
		for _, e := range p.ReadyLine().Relays {
			if e.Name == RelayName(id) {
				return send(http.MethodGet, "http://"+e.Addr+"/v1/streams/jobs/newest", "", nil) == 200
			}
		}
		return false
	}
	is.True(canRead("a") && canRead("b"))
	is.Equal(send(http.MethodPost, p.AdminURL()+"/admin/partition", `{"hosts":["a"]}`, nil), 200)
	is.True(!canRead("a"))
	is.True(canRead("b"))
	is.Equal(send(http.MethodDelete, p.AdminURL()+"/admin/partition", "", nil), 200)
	is.True(canRead("a"))
}

// Guards against invalid deployment files that are accepted, so that unintended fakes start or fakes are reachable over the network.
func TestLoadRefusesInvalidFiles(t *testing.T) {
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

// Guards against a failed start that leaves listeners open.
func TestFailedStartClosesListeners(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := ln.Addr().String()
	ln.Close()
	d := Deployment{Log: LogConfig{Addr: addr}, HostList: HostListConfig{Addr: addr}}
	_, err = Start(d)
	is.True(err != nil)
	ln, err = net.Listen("tcp", addr)
	is.NoErr(err)
	ln.Close()
}
