package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

const (
	serviceName  = "dele69a"
	hostName     = "nony24.example"
	apiKey       = "k-5d20c1"
	prefix       = "/lohu930/"
	maxAttempts  = 3
	deadline     = 3 * time.Second
	startTimeout = 20 * time.Second
	restartDelay = 500 * time.Millisecond // delay after which the platform starts a process again
	program      = "target/chestnutmux"   // with the words of deploy/system.toml
	ipPlaces     = 254
)

var zoneNames = []string{"seattle-a", "tacoma-b", "portland-a"}

// site is a small deployment on loopback addresses.
type site struct {
	record  *record
	store   *store
	fleet   *fleet
	runners []*runner
	hosts   []*host
	dir     string // temporary folder
	net     string // first three numbers of the loopback addresses
}

// host is an entry host.
type host struct {
	site     *site
	name     string
	ip       string
	settings string
	cmd      *exec.Cmd
	log      *os.File
}

// newSite starts the store, the runners and the entry hosts. kinds has the kind of each runner.
func newSite(recordPath string, kinds []string) (*site, error) {
	rec, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	s := &site{record: rec, store: newStore(rec), net: fmt.Sprintf("127.%d.%d", 1+rand.IntN(ipPlaces), rand.IntN(ipPlaces))}
	s.fleet = &fleet{store: s.store, record: rec}
	if s.dir, err = os.MkdirTemp("", "standin2-"); err != nil {
		return nil, err
	}
	s.configure()
	for i, kind := range kinds {
		r := &runner{fleet: s.fleet, id: fmt.Sprintf("i-%08x", 0x7f3a91c0+i), addr: s.addr(100+i, 8080), rack: "r1-1", kind: kind, gpus: 8}
		s.runners = append(s.runners, r)
		if err := r.boot(); err != nil {
			return s, err
		}
	}
	go s.fleet.advanceAll(s.runners)
	for i, zone := range zoneNames {
		h := &host{site: s, name: "front-" + zone + "-1", ip: fmt.Sprintf("%s.%d", s.net, 10+i)}
		s.hosts = append(s.hosts, h)
		storeAddr := s.addr(200+i, 8524)
		if _, err := s.store.listen(storeAddr, h.name); err != nil {
			return s, err
		}
		if err := h.writeSettings(zone, storeAddr); err != nil {
			return s, err
		}
		if err := h.start(); err != nil {
			return s, err
		}
	}
	return s, s.awaitReady()
}

func (s *site) addr(last, port int) string { return fmt.Sprintf("%s.%d:%d", s.net, last, port) }

// configure writes the operator's configuration.
func (s *site) configure() {
	route := map[string]any{
		"name": "r-ce7ejsm", "host": hostName, "path_prefix": prefix, "kind": "non_idempotent", "timeout_ms": 3000, "target_duration_ms": 3000,
		"priority": 1, "service": serviceName, "max_attempts": maxAttempts, "stretch": 3.0, "public": false,
	}
	config, _ := json.Marshal(map[string]any{
		"version": 7, "routes": []any{route}, "services": []any{map[string]any{"name": serviceName, "admission_check": false}},
		"tenants": []any{map[string]any{"name": "t-1", "api_keys": []string{apiKey}, "guaranteed": map[string]any{"gpu": 16}}},
		"limits":  map[string]any{"max_body_bytes": 262144},
	})
	s.store.put("keyed.op", "config", config)
}

// writeSettings writes the settings file of the host.
func (h *host) writeSettings(zone, storeAddr string) error {
	lines := []string{
		"node=" + h.name, "role=entry", "machine_class=front", "serves=front", "ip=" + h.ip, "zone=" + zone, "region=pnw-north",
		"listen.front=" + h.ip + ":8521", "listen.ready_addr=" + h.ip + ":8523", "listen.control=" + h.ip + ":8526", "port_range=7000,7015",
		"seeds=", "bootstrap=true", "limits.cpu_share=0.4", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100",
		"limits.link_mbps=1000.0", "discovery=platform", "entry=vip", "heartbeat_ms=1500",
		"contracts=base,drain,config,cost,recover,sched,tenants,platform,advice,upkeep,sharing", "bounds.contact_ms=4000", "bounds.ack_ms=5000",
		"bounds.drain_ms=2500", "bounds.grace_s=6", "bounds.config_apply_ms=2500", "bounds.max_stretch_ms=6000", "bounds.max_hold_ms=10000",
		"bounds.stop_ms=400", "bounds.gang_wait_ms=3000", "bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.finish_s=14",
		"bounds.status_s=120", "bounds.remote_factor=3", "bounds.checkpoint_s=1", "bounds.restore_ms=250", "orders=rpc",
		"platform.address=" + storeAddr, "platform.form=log", "platform.writes_per_s=600", "platform.reads_per_s=2000", "platform.parts=12",
		"platform.record_bytes=262144", "platform.call_bytes=2097152", "platform.keep_s=300", "platform.part_mb=200",
	}
	h.settings = filepath.Join(h.site.dir, h.name+".conf")
	return os.WriteFile(h.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// start starts the process with the command of the deploy file.
func (h *host) start() error {
	var err error
	if h.log, err = os.OpenFile(filepath.Join(h.site.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	h.cmd = exec.Command(program, "entry", "--metrics", h.ip+":9100")
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "CHESTNUTMUX_SETTINGS=" + h.settings}
	h.cmd.Stdout, h.cmd.Stderr = h.log, h.log
	h.site.record.printf("host %s starts", h.name)
	return h.cmd.Start()
}

// kill ends the process without a warning.
func (h *host) kill() {
	h.site.record.printf("host %s is killed", h.name)
	_ = h.cmd.Process.Kill()
	_ = h.cmd.Wait() // reports the signal
	_ = h.log.Close()
}

// killFor ends the process and starts it again after a time.
func (h *host) killFor(d time.Duration) {
	h.kill()
	time.Sleep(d + restartDelay)
	if err := h.start(); err != nil {
		h.site.record.printf("host %s can't start: %v", h.name, err)
	}
}

// leader returns the host that last wrote to the store as a leader.
func (s *site) leader() *host {
	name := s.store.leader()
	for _, h := range s.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

func (s *site) awaitReady() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := s.leader() != nil
		for _, h := range s.hosts {
			resp, err := http.Get("http://" + h.ip + ":8523/chestnutmux/ready")
			if err == nil {
				ready = ready && resp.StatusCode == http.StatusOK
				_ = resp.Body.Close()
			}
			ready = ready && err == nil
		}
		if ready {
			s.record.printf("all hosts are ready")
			return nil
		}
	}
	return fmt.Errorf("the hosts are not ready after %v", startTimeout)
}

// close ends all processes. It keeps the logs of the hosts if a folder for them is given.
func (s *site) close(keep string) {
	for _, h := range s.hosts {
		if h.cmd != nil && h.cmd.Process != nil {
			_ = h.cmd.Process.Kill()
			_ = h.cmd.Wait()
		}
		if data, err := os.ReadFile(filepath.Join(s.dir, h.name+".log")); err == nil && keep != "" {
			_ = os.WriteFile(filepath.Join(keep, h.name+".log"), data, 0o600)
		}
	}
	_ = os.RemoveAll(s.dir)
	_ = s.record.file.Close()
}

// call sends a client's call to a host and records the answer; status is 0 if there is none.
func (s *site) call(h *host, method, id string, body any, quiet bool) (status int, answer map[string]any) {
	data, _ := json.Marshal(body)
	if body == nil {
		data = nil
	}
	req, err := http.NewRequest(method, "http://"+h.ip+":8521"+prefix+id, bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	req.Host = hostName
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	c := http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: deadline}).DialContext}}
	resp, err := c.Do(req)
	if err == nil {
		defer resp.Body.Close()
		status = resp.StatusCode
		raw, _ := io.ReadAll(resp.Body)
		_ = json.Unmarshal(raw, &answer)
	}
	if !quiet {
		s.record.printf("client: %s %s at %s: %d %v", method, id, h.name, status, answer)
	}
	return status, answer
}

// submit hands in a job; each try goes to another host.
func (s *site) submit(id string, steps []map[string]any, spec string) bool {
	for i := range 5 {
		status, _ := s.call(s.hosts[i%len(s.hosts)], "POST", id, map[string]any{"task_spec": spec, "steps": steps}, false)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// state returns the state of a job on the first host that tells it.
func (s *site) state(id string) string {
	for _, h := range s.hosts {
		if status, answer := s.call(h, "GET", id, nil, true); status == http.StatusOK {
			text, _ := answer["state"].(string)
			return text
		}
	}
	return ""
}

func newJobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
