package reducer

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"chestnutmux.example/chestnutmux/internal/logclient"
	"chestnutmux.example/chestnutmux/pkg/model"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// fold is what the properties need of each fold.
type fold interface {
	Apply(logclient.Record)
	Skip(model.Offset, time.Time)
	Complete() bool
	Next() model.Offset
}

// subject describes one fold to the properties.
type subject struct {
	create   func() fold
	draw     func(*rapid.T) any        // draws an entry
	snapshot func(fold) any            // the state
	restore  func(fold, []byte) bool   // from the JSON of the state
	entry    func(snapshot []byte) any // a snapshot entry, nil when the stream has none
	essence  func(fold) any            // the state apart from offsets
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

func decodeAs[T any](b []byte) (v T) {
	if err := json.Unmarshal(b, &v); err != nil {
		panic(err)
	}
	return v
}

func pick[T any](t *rapid.T, label string, from ...T) T {
	return rapid.SampledFrom(from).Draw(t, label)
}

var configs = subject{
	create: func() fold { return &Config{} },
	draw: func(t *rapid.T) any {
		ws, class := pick(t, "workspace", "a", "b"), pick(t, "class", "x", "y")
		specs := map[model.Kind]string{
			model.KindWorkspace: fmt.Sprintf(`{"quota":%d}`, rapid.IntRange(-1, 3).Draw(t, "quota")),
			model.KindClass:     `{"urgency":"batch"}`,
			model.KindService:   fmt.Sprintf(`{"workspaces":[%q],"classes":[%q],"slots":1,"connections":1}`, ws, class),
			model.KindOperator:  `{"misspelt":1}`,
		}
		names := map[model.Kind]string{model.KindWorkspace: ws, model.KindClass: class, model.KindService: "s", model.KindOperator: "o"}
		p := Publish{ID: fmt.Sprint(rapid.IntRange(0, 60).Draw(t, "id"))}
		p.Author = pick(t, "author", model.OperatorID("o1"), "o2")
		p.Base, p.Schema = model.Version(rapid.IntRange(0, 9).Draw(t, "base")), 1
		for _, k := range rapid.SliceOfN(rapid.SampledFrom([]model.Kind{
			model.KindWorkspace, model.KindWorkspace, model.KindClass, model.KindClass, model.KindService, model.KindOperator,
		}), 0, 3).Draw(t, "kinds") {
			ch := model.Change{Kind: k, Name: names[k], Spec: json.RawMessage(specs[k])}
			if rapid.IntRange(0, 4).Draw(t, "delete") == 0 {
				ch.Spec = nil
			}
			p.Changes = append(p.Changes, ch)
		}
		return ConfigEntry{Publish: &p}
	},
	snapshot: func(f fold) any { return f.(*Config).Snapshot() },
	restore:  func(f fold, b []byte) bool { return f.(*Config).Restore(decodeAs[ConfigSnapshot](b)) },
	entry: func(b []byte) any {
		s := decodeAs[ConfigSnapshot](b)
		return ConfigEntry{Snapshot: &s}
	},
	essence: func(f fold) any {
		s := f.(*Config).Snapshot()
		s.Position = Position{}
		return s
	},
}

var jobs = subject{
	create: func() fold { return &Jobs{} },
	draw: func(t *rapid.T) any {
		id := pick(t, "job", model.JobID("j1"), "j2", "j3", "j4")
		domain := pick(t, "domain", model.DomainID("d1"), "d2")
		attempt := rapid.IntRange(0, 3).Draw(t, "attempt")
		switch rapid.IntRange(0, 4).Draw(t, "kind") {
		case 0:
			return JobEntry{Submitted: &Submitted{
				Spec: model.JobSpec{ID: id, Workspace: "w", RunMS: model.Millis(attempt), Payload: json.RawMessage(`{"a": 1}`)},
				Home: domain, Host: "h",
			}}
		case 1:
			return JobEntry{Started: &Started{Job: id, Domain: domain, Attempt: attempt}}
		case 2:
			return JobEntry{Ended: &Ended{
				Job: id, Domain: domain, Attempt: attempt, Error: "e",
				State: pick(t, "state", model.JobFinished, model.JobFailed, model.JobCancelled, model.JobNotRun, model.JobRunning),
			}}
		case 3:
			return JobEntry{Cancel: &Cancel{Job: id}}
		}
		return JobEntry{Rehomed: &Rehomed{Job: id, From: domain, To: pick(t, "to", model.DomainID("d1"), "d2")}}
	},
	snapshot: func(f fold) any { return f.(*Jobs).Snapshot() },
	restore:  func(f fold, b []byte) bool { return f.(*Jobs).Restore(decodeAs[JobsSnapshot](b)) },
	entry: func(b []byte) any {
		s := decodeAs[JobsSnapshot](b)
		return JobEntry{Snapshot: &s}
	},
	essence: func(f fold) any {
		s := f.(*Jobs).Snapshot()
		for _, list := range [][]Job{s.Live, s.Final} {
			for i := range list {
				list[i].Offset, list[i].Index = 0, 0
			}
		}
		return [][]Job{s.Live, s.Final}
	},
}

var claims = subject{
	create: func() fold { return &Claims{} },
	draw: func(t *rapid.T) any {
		// The ids differ in their timestamp: the epoch of the test, and 10 minutes later.
		id := pick(t, "id", "019b76da-a800-7000-8000-000000000000", "019b76e3-cfc0-7000-8000-000000000000", "none")
		return ClaimEntry{Claim: &Claim{Workspace: "w", Request: model.RequestID(id), Host: pick(t, "host", model.HostID("h1"), "h2")}}
	},
	snapshot: func(f fold) any { return f.(*Claims).Snapshot() },
	restore:  func(f fold, b []byte) bool { return f.(*Claims).Restore(decodeAs[ClaimsSnapshot](b)) },
	essence: func(f fold) any {
		s := f.(*Claims).Snapshot()
		for i := range s.Claims {
			s.Claims[i].RecordID, s.Claims[i].Index = "", 0
		}
		return s.Claims
	},
}

// stream draws records with batches, repeats, malformed entries and snapshots, and the states between them.
func (s subject) stream(t *rapid.T) (records []logclient.Record, states [][]byte) {
	full := s.create()
	now := epoch
	states = append(states, encode(s.snapshot(full)))
	for i := range rapid.IntRange(1, 40).Draw(t, "records") {
		now = now.Add(time.Duration(rapid.IntRange(-1, 300).Draw(t, "seconds")) * time.Second)
		rec := logclient.Record{Offset: model.Offset(i), ID: fmt.Sprint(i), AtMS: now.UnixMilli()}
		var batch []any
		for range rapid.IntRange(0, 3).Draw(t, "batch") {
			batch = append(batch, s.draw(t))
		}
		switch rapid.IntRange(0, 7).Draw(t, "special") {
		case 0:
			if s.entry != nil { // a host that lags behind appends its state
				batch = append(batch, s.entry(states[rapid.IntRange(max(0, i-3), i).Draw(t, "snapshot")]))
			}
		case 1:
			batch = append([]any{map[string]int{"of-a-later-version": 1}, 5}, batch...)
		}
		rec.Data = encode(batch)
		if i > 0 && rapid.IntRange(0, 4).Draw(t, "repeat") == 0 {
			first := records[rapid.IntRange(0, i-1).Draw(t, "repeated")]
			rec.ID, rec.Data = first.ID, first.Data
		}
		records = append(records, rec)
		full.Apply(rec)
		states = append(states, encode(s.snapshot(full)))
	}
	return records, states
}

// A host that starts from a snapshot, from a trimmed log or from a peer must not decide differently from one that has
// read everything.
func TestStartsAgree(t *testing.T) {
	for name, s := range map[string]subject{"config": configs, "jobs": jobs, "claims": claims} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				records, states := s.stream(t)
				want := string(states[len(records)])
				apply := func(f fold, from int) {
					for i := range records[from:] {
						f.Apply(records[from+i])
					}
				}
				check := func(f fold, how string) {
					if got := string(encode(s.snapshot(f))); got != want {
						t.Fatalf("%s:\n got %s\nwant %s", how, got, want)
					}
				}
				at := rapid.IntRange(1, len(records)).Draw(t, "at")
				f := s.create()
				s.restore(f, states[at])
				apply(f, rapid.IntRange(0, at).Draw(t, "overlap"))
				check(f, "restored")

				if s.entry == nil {
					return
				}
				f = s.create()
				read := rapid.IntRange(0, at).Draw(t, "read before") // then the log is trimmed beyond
				for _, rec := range records[:read] {
					f.Apply(rec)
				}
				f.Skip(model.Offset(at), epoch)
				apply(f, at)
				if f.Next() != model.Offset(len(records)) {
					t.Fatalf("next is %d", f.Next())
				}
				if !f.Complete() {
					peer := rapid.IntRange(0, len(records)).Draw(t, "peer")
					if s.restore(f, states[peer]) != (peer >= at) {
						t.Fatalf("snapshot up to %d with records from %d", peer, at)
					}
					s.restore(f, states[len(records)])
				}
				check(f, "trimmed")
			})
		})
	}
}

// The appender decides which entries share a record, and repeats records whose answer was lost; neither must change a
// decision.
func TestBatchesAndRepeatsDoNotMatter(t *testing.T) {
	for name, s := range map[string]subject{"config": configs, "jobs": jobs, "claims": claims} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				var entries []any
				for range rapid.IntRange(0, 40).Draw(t, "entries") {
					entries = append(entries, s.draw(t))
				}
				one, many := s.create(), s.create()
				one.Apply(logclient.Record{ID: "all", AtMS: epoch.UnixMilli(), Data: encode(entries)})
				offset := model.Offset(0)
				apply := func(i int) {
					many.Apply(logclient.Record{Offset: offset, ID: fmt.Sprint(i), AtMS: epoch.UnixMilli(), Data: encode([]any{entries[i]})})
					offset++
				}
				for i := range entries {
					apply(i)
					if rapid.Bool().Draw(t, "repeat") {
						apply(rapid.IntRange(0, i).Draw(t, "repeated"))
					}
				}
				if a, b := string(encode(s.essence(one))), string(encode(s.essence(many))); a != b {
					t.Fatalf("in one record: %s\none by one: %s", a, b)
				}
			})
		})
	}
}

// Two operators who publish at once must not overwrite each other's changes unseen, and versions only rise by one.
func TestConflictsAreExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &Config{}
		changed := map[string]model.Version{}
		for i := range 40 {
			e := configs.draw(t).(ConfigEntry)
			e.Publish.ID = fmt.Sprint(i)
			before := c.Version()
			e.Publish.Base = min(e.Publish.Base, before)
			c.Apply(logclient.Record{Offset: model.Offset(i), ID: fmt.Sprint(i), Data: encode([]any{e})})
			v, ok := c.Verdict(e.Publish.ID)
			if !ok {
				t.Fatal("no verdict")
			}
			overtaken := false
			for _, ch := range e.Publish.Changes {
				overtaken = overtaken || changed[string(ch.Kind)+ch.Name] > e.Publish.Base
				var refs struct{ Workspaces, Classes []string }
				if ch.Spec != nil {
					refs = decodeAs[struct{ Workspaces, Classes []string }](ch.Spec)
				}
				for _, r := range refs.Workspaces {
					overtaken = overtaken || changed["workspace"+r] > e.Publish.Base
				}
				for _, r := range refs.Classes {
					overtaken = overtaken || changed["class"+r] > e.Publish.Base
				}
			}
			switch {
			case v.State == VerdictAccepted && !overtaken && c.Version() == before+1 && v.Version == c.Version():
				for _, ch := range e.Publish.Changes {
					changed[string(ch.Kind)+ch.Name] = c.Version()
				}
			case v.State == VerdictConflict && overtaken && c.Version() == before && v.Conflict.Version > e.Publish.Base:
			case v.State == VerdictInvalid && len(v.Faults) > 0 && c.Version() == before:
			default:
				t.Fatalf("overtaken %v, version %d to %d, verdict %+v", overtaken, before, c.Version(), v)
			}
		}
	})
}

// A job must be accepted once and end once, whatever the order of the records.
func TestJobsEndOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		accepted, ended := map[model.JobID]int{}, map[model.JobID]int{}
		j := &Jobs{OnEvent: func(e JobEvent) {
			switch e.Kind {
			case JobAccepted:
				accepted[e.Job.Spec.ID]++
			case JobEnded:
				ended[e.Job.Spec.ID]++
			case JobStarted, JobRehomed, JobCancel:
				if ended[e.Job.Spec.ID] > 0 {
					t.Fatalf("%s after the end of %s", e.Kind, e.Job.Spec.ID)
				}
			}
		}}
		for i := range 60 {
			j.Apply(logclient.Record{Offset: model.Offset(i), ID: fmt.Sprint(i), Data: encode([]any{jobs.draw(t)})})
		}
		for id, n := range accepted {
			if n != 1 || ended[id] > 1 {
				t.Fatalf("job %s accepted %d times, ended %d times", id, n, ended[id])
			}
		}
	})
}

// A repeated submission is answered from the first: identical specs are one job, others a conflict of ids.
func TestRepeatedSubmission(t *testing.T) {
	is := is.New(t)
	var events []JobEvent
	j := &Jobs{OnEvent: func(e JobEvent) { events = append(events, e) }}
	spec := model.JobSpec{ID: "j", Workspace: "w", Payload: json.RawMessage(`{"a":1}`)}
	other := spec
	other.Workspace = "v"
	j.Apply(logclient.Record{ID: "r", AtMS: epoch.UnixMilli(), Data: encode([]JobEntry{
		{Submitted: &Submitted{Spec: spec, Home: "d", Host: "h1"}},
		{Submitted: &Submitted{Spec: spec, Home: "e", Host: "h2"}},
		{Submitted: &Submitted{Spec: other, Home: "d", Host: "h2"}},
		{Ended: &Ended{Job: "j", Domain: "d", State: model.JobNotRun}},
	})})
	is.Equal(events[0].Job.Host, model.HostID("h1"))
	is.True(events[1].Kind == JobRepeated && events[1].Identical && events[1].Index == 1)
	is.True(events[2].Kind == JobRepeated && !events[2].Identical)
	spec.Payload = json.RawMessage(`{ "a": 1 }`)
	job, identical, ok := j.Submission(spec)
	is.True(ok && identical && job.Home == "d") // also after the payload was dropped
	later := epoch.Add(FinalKeep + time.Second).UnixMilli()
	j.Apply(logclient.Record{Offset: 1, ID: "s", AtMS: later, Data: encode([]any{})})
	_, ok = j.Get("j")
	is.True(!ok) // final jobs do not pile up
}

// A publish under rules that this build lacks must stop the fold instead of making hosts disagree.
func TestLaterSchemaWaitsForSnapshot(t *testing.T) {
	is := is.New(t)
	c := &Config{}
	p := Publish{ID: "p"}
	p.Schema = 99
	c.Apply(logclient.Record{ID: "r", Data: encode([]ConfigEntry{{Publish: &p}})})
	is.True(!c.Complete() && c.Unsupported() == 99 && c.Next() == 1)
	is.True(c.Restore(ConfigSnapshot{Position: Position{Next: 1}, Version: 7}))
	is.True(c.Complete() && c.Unsupported() == 0 && c.Version() == 7)
	is.True(!c.Restore(ConfigSnapshot{Position: Position{Next: 5}, Version: 6})) // never back
}

// A claim must hold while its id is usable, and a host whose view starts later must know that it may miss claims.
func TestClaimsExpireAndCover(t *testing.T) {
	is := is.New(t)
	c := &Claims{}
	c.Skip(5, epoch.Add(time.Hour))
	claim := func(offset model.Offset, at time.Time, host model.HostID) {
		c.Apply(logclient.Record{Offset: offset, ID: fmt.Sprint(offset), AtMS: at.UnixMilli(), Data: encode([]ClaimEntry{
			{Claim: &Claim{Workspace: "w", Request: "019b76e3-cfc0-7000-8000-000000000000", Host: host}}, // epoch + 10 min
		})})
	}
	winner := func() model.HostID {
		w, _ := c.Winner("w", "019b76e3-cfc0-7000-8000-000000000000")
		return w.Host
	}
	claim(5, epoch, "h1")
	is.Equal(c.CompleteSince(), epoch)
	is.True(!c.Covers(epoch.Add(ClaimSkew-1)) && c.Covers(epoch.Add(ClaimSkew)))
	claim(6, epoch.Add(10*time.Minute+ClaimWindow), "h2")
	is.Equal(winner(), model.HostID("h1"))
	claim(7, epoch.Add(10*time.Minute+ClaimWindow+ClaimSkew), "h2")
	is.Equal(winner(), model.HostID("h2"))
}

// Records are written by other hosts and may be of any form; a fold must skip what it cannot read and stay usable.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		`[]`, `null`, `[null,1,{}]`, `{"publish":{}}`,
		`[{"publish":{"id":"p","author":"o","base":0,"schema":1,"changes":[{"kind":"class","name":"c","spec":{"urgency":"batch"}}]}}]`,
		`[{"snapshot":{"next":0,"version":3}}]`, `[{"snapshot":{"next":3,"live":[{"spec":{"id":"j"}}],"final":[{}]}}]`,
		`[{"submitted":{"spec":{"id":"j"},"home":"d"}},{"started":{"job":"j","domain":"d","attempt":1}}]`,
		`[{"ended":{"job":"j","domain":"d","state":"finished"}},{"cancel":{"job":"j"}},{"rehomed":{"job":"j","to":"e"}}]`,
		`[{"claim":{"workspace":"w","request":"019b76da-a800-7000-8000-000000000000","host":"h"}}]`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, s := range []subject{configs, jobs, claims} {
			for _, trimmed := range []bool{false, true} {
				a := s.create()
				if trimmed {
					a.Skip(3, epoch)
				}
				for i := range 3 {
					a.Apply(logclient.Record{Offset: model.Offset(3 + i), ID: fmt.Sprint(i), Data: slices.Clone(data)})
				}
				if a.Next() != 6 {
					t.Fatalf("next is %d", a.Next())
				}
				b := s.create()
				state := encode(s.snapshot(a))
				if a.Complete() && s.restore(b, state) && string(encode(s.snapshot(b))) != string(state) {
					t.Fatalf("restored %s from %s", encode(s.snapshot(b)), state)
				}
			}
		}
	})
}
