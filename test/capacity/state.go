package main

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"time"

	"chestnutmux.example/chestnutmux/internal/hostclient"
	"chestnutmux.example/chestnutmux/internal/logclient"
	"chestnutmux.example/chestnutmux/internal/reducer"
	"chestnutmux.example/chestnutmux/pkg/differ"
	"chestnutmux.example/chestnutmux/pkg/model"
	"chestnutmux.example/chestnutmux/pkg/validator"
)

// stateArguments are empty, since all points take a few seconds together.
type stateArguments struct{}

// point is one figure of a slope; fields that do not apply are left out.
type point struct {
	What    string  `json:"what"`
	Size    int     `json:"size"`
	Bytes   int     `json:"bytes,omitempty"`      // on the wire or in the log
	Gzip    int     `json:"gzip-bytes,omitempty"` // the same compressed
	HeapKB  float64 `json:"heap-kb,omitempty"`    // kept after a collection
	Millis  float64 `json:"ms,omitempty"`         // of processor and wall time on one core
	PeakKB  float64 `json:"allocated-kb,omitempty"`
	Comment string  `json:"of,omitempty"`
}

// runState measures state and time per job, claim, configuration object and host, and the planner without sockets.
func runState(out io.Writer) error {
	enc := json.NewEncoder(out)
	for _, n := range []int{1_000, 5_000, 10_000, 20_000} {
		for _, p := range jobsState(n) {
			if err := enc.Encode(p); err != nil {
				return err
			}
		}
	}
	for _, n := range []int{1_000, 3_000, 9_000} {
		for _, p := range append(hostList(n), claimsState(n)) {
			if err := enc.Encode(p); err != nil {
				return err
			}
		}
	}
	for _, n := range []int{245, 490, 980} {
		points, err := configState(n)
		if err != nil {
			return err
		}
		for _, p := range append(append(points, reserverMinute(n)), planningPass(n)...) {
			if err := enc.Encode(p); err != nil {
				return err
			}
		}
	}
	for _, p := range planningPass(8_800) {
		if err := enc.Encode(p); err != nil {
			return err
		}
	}
	return nil
}

// took runs f and returns its time, the heap that it kept and all that it allocated.
func took(what string, size int, f func()) point {
	var a, b, c runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&a)
	start := time.Now()
	f()
	elapsed := time.Since(start)
	runtime.ReadMemStats(&b)
	runtime.GC()
	runtime.ReadMemStats(&c)
	return point{
		What: what, Size: size, Millis: float64(elapsed.Microseconds()) / 1e3,
		HeapKB: (float64(c.HeapAlloc) - float64(a.HeapAlloc)) / 1024, PeakKB: float64(b.TotalAlloc-a.TotalAlloc) / 1024,
	}
}

// must returns the value of an encoding that cannot fail.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func squeeze(data []byte) int {
	var buf bytes.Buffer
	z := gzip.NewWriter(&buf)
	_, _ = z.Write(data)
	_ = z.Close()
	return buf.Len()
}

func spec(i int) model.JobSpec {
	return model.JobSpec{
		ID: model.JobID(fmt.Sprintf("0190b5c2-7a4e-7d10-9c3e-%012d", i)), Workspace: model.WorkspaceID(team(i)),
		Caller: model.CallerID(team(i)), Class: "batch", RunMS: 7_200_000,
		Shape:   model.Shape{Workers: 21, Accelerators: 1, Cores: 4, MemoryMB: 1 << 14, Span: model.SpanDomain},
		Payload: json.RawMessage(`{"run-ms":7200000,"image":"registry/team/training:2026-11-30","args":["--epochs","40"]}`),
	}
}

func record(offset int, entry json.RawMessage) logclient.Record {
	return logclient.Record{
		Offset: model.Offset(offset), ID: fmt.Sprintf("kartli-a-e1-ABCDEFGHIJ-%d", offset), AtMS: 1_764_800_000_000 + int64(offset)*1_400,
		Data: must(json.Marshal([]json.RawMessage{entry})),
	}
}

// jobsState folds n jobs, writes a snapshot and starts another fold from it.
func jobsState(n int) []point {
	var records []logclient.Record
	size := 0
	for i := range n {
		s := must(reducer.Encode(reducer.JobEntry{Submitted: &reducer.Submitted{Spec: spec(i), Home: measured, Host: "kartli-a-e1"}}))
		t := must(reducer.Encode(reducer.JobEntry{Started: &reducer.Started{Job: spec(i).ID, Domain: measured, Attempt: 1}}))
		records = append(records, record(2*i, s), record(2*i+1, t))
		size += len(must(json.Marshal(records[2*i]))) + len(must(json.Marshal(records[2*i+1])))
	}
	fold := &reducer.Jobs{}
	apply := took("jobs fold, submitted and started records", n, func() {
		for _, r := range records {
			fold.Apply(r)
		}
	})
	apply.Bytes = size
	var data json.RawMessage
	write := took("jobs snapshot, written", n, func() {
		s := fold.Snapshot()
		data = must(reducer.Encode(reducer.JobEntry{Snapshot: &s}))
	})
	write.Bytes, write.Gzip = len(data), squeeze(data)
	rec := record(2*n, data)
	fresh := &reducer.Jobs{}
	fresh.Skip(model.Offset(2*n), time.Time{})
	read := took("jobs snapshot, read", n, func() { fresh.Apply(rec) })
	for _, v := range []any{records, fold, data, rec, fresh} { // else its end would count as freed by a later step
		runtime.KeepAlive(v)
	}
	return []point{apply, write, read}
}

// claimsState folds n claims within a window.
func claimsState(n int) point {
	var records []logclient.Record
	size := 0
	for i := range n {
		c := must(reducer.Encode(reducer.ClaimEntry{Claim: &reducer.Claim{
			Workspace: model.WorkspaceID(team(i)), Request: model.RequestID(fmt.Sprintf("0190b5c2-7a4e-7d10-9c3e-%012d", i)), Host: "kartli-a-e1",
		}}))
		r := record(i, c)
		r.AtMS = 1_764_800_000_000 + int64(i)*90
		records = append(records, r)
		size += len(must(json.Marshal(r)))
	}
	fold := &reducer.Claims{}
	p := took("claims fold", n, func() {
		for _, r := range records {
			fold.Apply(r)
		}
	})
	p.Bytes = size
	runtime.KeepAlive(records)
	runtime.KeepAlive(fold)
	return p
}

// configState folds the configuration of nine failure domains of n workers, and one change.
func configState(n int) ([]point, error) {
	set := configuration(arguments{Workers: n, Domains: 8, Others: n})
	changes, err := differ.Diff(model.Set{}, set)
	if err != nil {
		return nil, err
	}
	entry := func(id string, base model.Version, c []model.Change) json.RawMessage {
		return must(reducer.Encode(reducer.ConfigEntry{Publish: &reducer.Publish{
			ID: id, Publish: model.Publish{Base: base, Schema: validator.Schema, Changes: c},
		}}))
	}
	first := record(0, entry("first", 0, changes))
	fold := &reducer.Config{}
	all := took("config fold, whole set", 9*n, func() { fold.Apply(first) })
	all.Bytes, all.Comment = len(must(json.Marshal(first))), fmt.Sprintf("%d objects, version %d", len(changes), fold.Version())
	const repeats = 20
	var changed []logclient.Record
	for i := range repeats {
		weight := must(json.Marshal(model.Workspace{Quota: 100_000, MaxWaiting: 100_000, Weight: 2 + i}))
		changed = append(changed, record(1+i, entry(fmt.Sprint("change-", i), model.Version(1+i),
			[]model.Change{{Kind: model.KindWorkspace, Name: team(i), Spec: weight}})))
	}
	one := took("config fold, one change", 9*n, func() {
		for _, r := range changed {
			fold.Apply(r)
		}
	})
	one.Millis, one.PeakKB, one.HeapKB = one.Millis/repeats, one.PeakKB/repeats, one.HeapKB/repeats
	one.Bytes, one.Comment = len(must(json.Marshal(changed[0]))), fmt.Sprintf("version %d", fold.Version())
	runtime.KeepAlive(changed)
	runtime.KeepAlive(first)
	runtime.KeepAlive(fold)
	return []point{all, one}, nil
}

// hostList encodes and decodes a list of n hosts.
func hostList(n int) []point {
	var l hostclient.List
	for i := range n {
		l.Hosts = append(l.Hosts, hostclient.Host{
			ID: model.HostID(fmt.Sprintf("domain-%02d-r%03d-%d", i/980, i%980/8, i%8)), Role: hostclient.RoleWorker,
			Addr: fmt.Sprintf("10.%d.%d.%d:7400", i/980, i%980/250, i%250), Domain: model.DomainID(fmt.Sprintf("domain-%02d", i/980)),
			Region: region(i / 980), Rack: model.RackID(fmt.Sprintf("r%03d", i%980/8)), Index: i % 8, State: hostclient.StateLive,
		})
	}
	data := must(json.Marshal(l))
	var read hostclient.List
	p := took("host list, read", n, func() {
		if err := json.Unmarshal(data, &read); err != nil {
			panic(err)
		}
	})
	p.Bytes, p.Gzip = len(data), squeeze(data)
	runtime.KeepAlive(data)
	runtime.KeepAlive(read)
	return []point{p}
}
