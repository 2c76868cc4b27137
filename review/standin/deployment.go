package standin

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"
)

// Names of the configuration that all scripts use.
const (
	service  = "huvo11a"
	hostName = "nony24.example"
	prefix   = "/lohu930/"
	apiKey   = "k-5d20c1"
)

const (
	readyTimeout = 15 * time.Second
	// maxScript ends a script that hangs.
	maxScript = 115 * time.Second
)

// Deployment is a small deployment: a store, entry hosts, runners and a client.
type Deployment struct {
	Record  *Record
	Network *Network
	Store   *Store
	Fleet   *Fleet
	Entries []*Entry
	Client  *Client
	Trouble bool // whether the disruption takes place

	root, dir string
	done      chan struct{}
	nextIP    int
}

// Main runs a script and ends the process: with 1 if check returns what broke a rule, with 0 if it returns an empty string, and with
// 2 if it returns an error. The arguments are the root of the repository and the folder of the case.
func Main(check func(d *Deployment) (broken string, err error)) {
	d := &Deployment{Trouble: os.Getenv("TROUBLE") != "0", done: make(chan struct{}), nextIP: 1}
	code := d.run(check)
	os.Exit(code)
}

func (d *Deployment) run(check func(d *Deployment) (string, error)) int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: PROGRAM ROOT CASE")
		return 2
	}
	d.root = os.Args[1]
	err := d.open(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	type outcome struct {
		broken string
		err    error
	}
	out := make(chan outcome, 1)
	go func() {
		broken, err := check(d)
		out <- outcome{broken, err}
	}()
	o := outcome{err: fmt.Errorf("the script took longer than %v", maxScript)}
	select {
	case o = <-out:
	case <-time.After(maxScript):
	}
	d.close()
	switch {
	case o.err != nil:
		d.Record.Printf("RESULT: could not run: %v", o.err)
		fmt.Println("could not run:", o.err)
		return 2
	case o.broken != "":
		d.Record.Printf("RESULT: broken: %s", o.broken)
		fmt.Println("broken:", o.broken)
		return 1
	}
	d.Record.Printf("RESULT: held")
	fmt.Println("held")
	return 0
}

func (d *Deployment) open(caseDir string) error {
	var err error
	if d.Record, err = NewRecord(filepath.Join(caseDir, "record.txt")); err != nil {
		return err
	}
	d.Record.Printf("disruption: %v", d.Trouble)
	if d.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return err
	}
	if d.Network, err = NewNetwork(); err != nil {
		return err
	}
	if d.Store, err = NewStore(d.Network.IP(250)+":0", d.Record); err != nil {
		return err
	}
	d.Fleet = &Fleet{Store: d.Store, Record: d.Record, Service: service, Works: map[string]Work{}}
	d.Client = &Client{Key: apiKey, Host: hostName, Prefix: prefix, Record: d.Record}
	go d.Fleet.Run(d.done)
	return nil
}

func (d *Deployment) close() {
	for _, e := range d.Entries {
		e.Kill()
	}
	close(d.done)
	d.Fleet.Close()
	d.Store.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs:", d.dir)
	}
}

// Configure writes a configuration with one queue.
func (d *Deployment) Configure(priority, maxAttempts, guaranteedGPUs int) {
	config, _ := json.Marshal(map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-ce7ejsm", "host": hostName, "path_prefix": prefix, "kind": "non_idempotent", "timeout_ms": 3000, "target_duration_ms": 3000,
			"priority": priority, "service": service, "max_attempts": maxAttempts, "stretch": 3.0, "public": false,
		}},
		"services": []any{map[string]any{"name": service, "admission_check": false}},
		"tenants":  []any{map[string]any{"name": "t-1", "api_keys": []string{apiKey}, "guaranteed": map[string]any{"gpu": guaranteedGPUs}}},
		"limits":   map[string]any{"max_body_bytes": 262144},
	})
	d.Store.Put("keyed.op", "config", config)
	d.Record.Printf("operator: configuration 7 is stored")
}

// AddRunners starts runners of one kind in a zone; their ids begin with the kind. perRack is the number of runners of a rack.
func (d *Deployment) AddRunners(n int, zone, kind string, room Room, perRack int) ([]*Runner, error) {
	var out []*Runner
	for i := range n {
		d.nextIP++
		id := fmt.Sprintf("i-%s%02d", kind, i)
		r, err := d.Fleet.Add(id, d.Network.IP(100+d.nextIP)+":8080", zone, room, []string{kind, fmt.Sprintf("r%s-%d", kind, i/perRack)})
		if err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	return out, nil
}

// AddEntries starts entry hosts and waits until all are ready and one leads.
func (d *Deployment) AddEntries(n int) error {
	for i := range n {
		zone := "kartli-a"
		if i%2 == 1 {
			zone = "kartli-b"
		}
		e, err := NewEntry(d.root, d.dir, fmt.Sprintf("front-%s-%d", zone, i), zone, d.Network.IP(10+i), d.Store.Addr(), d.Record)
		if err != nil {
			return err
		}
		d.Entries = append(d.Entries, e)
	}
	return d.Await(readyTimeout, "entry hosts are ready", func() bool {
		for _, e := range d.Entries {
			if !e.IsReady() {
				return false
			}
		}
		return d.Leader() != nil
	})
}

// Leader returns the entry host that leads, or nil.
func (d *Deployment) Leader() *Entry {
	for _, e := range d.Entries {
		if e.Leads() {
			return e
		}
	}
	return nil
}

// Await waits until a condition holds.
func (d *Deployment) Await(timeout time.Duration, what string, holds func() bool) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if holds() {
			d.Record.Printf("%s", what)
			return nil
		}
	}
	return fmt.Errorf("not so after %v: %s", timeout, what)
}

// NewJobID returns a random id.
func NewJobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Submit hands in a job with the given steps and registers the work of its tasks. It tries again while it is refused.
func (d *Deployment) Submit(work Work, steps ...map[string]any) (id string, err error) {
	id = NewJobID()
	spec := "spec-" + id
	d.Fleet.mu.Lock()
	d.Fleet.Works[spec] = work
	d.Fleet.mu.Unlock()
	for range 20 {
		if status, _ := d.Client.Do(d.Entries[0], "POST", id, map[string]any{"task_spec": spec, "steps": steps}); status == 200 {
			return id, nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return "", fmt.Errorf("job %s was not accepted", id)
}

// State asks an entry host for the state of a job; it is empty if there is no answer with a state.
func (d *Deployment) State(e *Entry, id string) string {
	status, body := d.Client.Do(e, "GET", id, nil)
	if status != 200 {
		return ""
	}
	s, _ := body["state"].(string)
	return s
}

// WatchIdle watches a job until it is completed or for a time. From a moment on, it measures how long the job has nothing running
// while all runners are sound. It returns what broke the rule LOST if that takes longer than limit.
func (d *Deployment) WatchIdle(id string, from time.Time, watch, limit time.Duration) (string, error) {
	var idleSince, nextGet time.Time
	longest := time.Duration(0)
	for end := time.Now().Add(watch); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(nextGet) {
			nextGet = time.Now().Add(time.Second)
			if d.State(d.Entries[0], id) == "completed" {
				return "", nil
			}
		}
		runs, sound := d.Fleet.running(id)
		if runs > 0 || sound < len(d.Fleet.Runners) || time.Now().Before(from) {
			idleSince = time.Time{}
			continue
		}
		if idleSince.IsZero() {
			idleSince = time.Now()
		}
		longest = max(longest, time.Since(idleSince))
	}
	all, sound := d.Fleet.Running()
	d.Record.Printf("at the end %d of %d runners are sound, %d runs are active; longest time without a run of job %s: %v", sound,
		len(d.Fleet.Runners), all, id, longest)
	if longest > limit {
		return fmt.Sprintf("LOST: job %s had nothing running for %.1f s while all runners were sound, %d runs were active and %d of %d runners empty", id, longest.Seconds(), all, d.Fleet.empty(), len(d.Fleet.Runners)), nil
	}
	return "", nil
}
