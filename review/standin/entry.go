package standin

import (
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
	"syscall"
	"time"
)

// Network hands out loopback addresses of a range of its own.
type Network struct{ prefix string }

// NewNetwork picks a range of loopback addresses on which the metrics port is free.
func NewNetwork() (*Network, error) {
	for range 50 {
		n := &Network{prefix: fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250))}
		if l, err := net.Listen("tcp4", n.IP(1)+":9100"); err == nil {
			_ = l.Close()
			return n, nil
		}
	}
	return nil, fmt.Errorf("no free loopback addresses")
}

// IP returns the address with a number.
func (n *Network) IP(i int) string { return fmt.Sprintf("%s%d", n.prefix, i) }

// Entry is a process of the deploy file's role, with its settings.
type Entry struct {
	Name, Front, Ready string

	dir     string
	program string
	ip      string
	cmd     *exec.Cmd
	record  *Record
	exited  chan struct{}
}

// NewEntry writes the settings of an entry host and starts its process. root is the repository, dir holds settings and logs.
func NewEntry(root, dir, name, zone, ip, store string, rec *Record) (*Entry, error) {
	e := &Entry{
		Name: name, Front: ip + ":8521", Ready: ip + ":8523", dir: dir, ip: ip, record: rec,
		program: filepath.Join(root, "target", "chestnutmux"),
	}
	lines := []string{
		"node=" + name, "role=entry", "machine_class=front", "serves=front", "ip=" + ip, "zone=" + zone, "region=kartli",
		"zones.kartli-a=kartli", "zones.imereti-a=imereti", "zones.kartli-b=kartli", "listen.front=" + e.Front, "listen.ready_addr=" + e.Ready, "port_range=7000,7015",
		"seeds=", "bootstrap=true", "loss_counts=false", "limits.cpu_share=0.4", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100",
		"limits.link_mbps=1000.0", "limits.disk_mb=0", "discovery=platform", "entry=vip", "heartbeat_ms=1500",
		"contracts=base,drain,config,cost,recover,sched,tenants,platform", "bounds.contact_ms=4000", "bounds.ack_ms=5000",
		"bounds.catch_up_s=4", "bounds.drain_ms=2500", "bounds.grace_s=6", "bounds.loss_slack_ms=200", "bounds.config_apply_ms=2500",
		"bounds.rollback_slack_ms=250", "bounds.max_stretch_ms=6000", "bounds.recovery_s=12", "bounds.max_hold_ms=10000", "bounds.stop_ms=200",
		"bounds.gang_wait_ms=3000", "bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.early_ms=250", "bounds.finish_s=14",
		"bounds.status_s=120", "bounds.remote_factor=3", "bounds.checkpoint_s=1", "bounds.restore_ms=100", "bounds.require_fence=false",
		"orders=rpc", "platform.address=" + store, "platform.form=log", "platform.writes_per_s=800", "platform.reads_per_s=2000",
		"platform.parts=12", "platform.append_ms=2.0", "platform.keep_s=300", "platform.ttl_min_ms=1000",
	}
	if err := os.WriteFile(e.settings(), []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return nil, err
	}
	return e, e.Start()
}

func (e *Entry) settings() string { return filepath.Join(e.dir, e.Name+".conf") }

// Start starts the process with the command of the deploy file.
func (e *Entry) Start() error {
	log, err := os.OpenFile(filepath.Join(e.dir, e.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(e.program, "entry", "--metrics", e.ip+":9100")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "CHESTNUTMUX_SETTINGS=" + e.settings()}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	e.cmd, e.exited = cmd, exited
	e.record.Printf("entry %s starts", e.Name)
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process.
func (e *Entry) Signal(s syscall.Signal) {
	e.record.Printf("entry %s gets signal %v", e.Name, s)
	_ = e.cmd.Process.Signal(s)
}

// Kill ends the process and waits until it is gone.
func (e *Entry) Kill() {
	_ = e.cmd.Process.Kill()
	<-e.exited
}

// IsReady reports whether the entry host is ready for callers.
func (e *Entry) IsReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + e.Ready + "/chestnutmux/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Leads reports whether the entry host's log says that its newest term has not ended.
func (e *Entry) Leads() bool {
	data, err := os.ReadFile(filepath.Join(e.dir, e.Name+".log"))
	if err != nil {
		return false
	}
	leads := false
	for line := range strings.SplitSeq(string(data), "\n") {
		switch {
		case strings.Contains(line, `"entry host starting"`), strings.Contains(line, `"term ended"`), strings.Contains(line, `"dispatcher stopped"`),
			strings.Contains(line, `"another host has become the leader"`):
			leads = false
		case strings.Contains(line, `"term started"`):
			leads = true
		}
	}
	return leads
}

// Client sends calls of a tenant to entry hosts.
type Client struct {
	Key, Host, Prefix string
	Record            *Record
}

// Do sends one call and returns its status and body; status 0 means that no complete answer came.
func (c *Client) Do(e *Entry, method, id string, body any) (int, map[string]any) {
	var reader io.Reader
	if body != nil {
		data, _ := json.Marshal(body)
		reader = strings.NewReader(string(data))
	}
	req, err := http.NewRequest(method, "http://"+e.Front+c.Prefix+id, reader)
	if err != nil {
		return 0, nil
	}
	req.Host = c.Host
	req.Header.Set("Authorization", "Bearer "+c.Key)
	req.Header.Set("Deadline-Ms", "3000")
	req.Header.Set("Content-Type", "application/json")
	hc := http.Client{Timeout: 3500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := hc.Do(req)
	if err != nil {
		c.Record.Printf("client: %s %s to %s: no answer (%v)", method, id, e.Name, err)
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		c.Record.Printf("client: %s %s to %s: broken answer", method, id, e.Name)
		return 0, nil
	}
	var out map[string]any
	_ = json.Unmarshal(data, &out)
	c.Record.Printf("client: %s %s to %s: %d %s", method, id, e.Name, resp.StatusCode, strings.TrimSpace(string(data)))
	return resp.StatusCode, out
}
