package platform

import (
	"net/http"

	"chestnutmux.example/chestnutmux/internal/fake/fault"
	"chestnutmux.example/chestnutmux/internal/fake/runner"
	"chestnutmux.example/chestnutmux/internal/hostclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Endpoint describes a fake in the ready line and in the response to GET /admin/fakes.
type Endpoint struct {
	Name string `json:"name"`
	Kind string `json:"kind"`          // log, hosts, worker, runner or relay
	Addr string `json:"addr"`          // host:port
	URL  string `json:"url,omitempty"` // base URL; empty for a relay
}

// ReadyLine has the addresses of all fakes; it is printed as a line of JSON once they accept connections.
type ReadyLine struct {
	Ready       bool       `json:"ready"`
	AdminURL    string     `json:"admin"`
	LogURL      string     `json:"log"`
	HostListURL string     `json:"hosts"`
	Workers     []Endpoint `json:"workers"`
	Runners     []Endpoint `json:"runners"`
	Relays      []Endpoint `json:"relays"`
}

// ReadyLine returns the addresses at which the fakes listen.
func (p *Platform) ReadyLine() ReadyLine {
	r := ReadyLine{
		Ready: true, AdminURL: p.AdminURL(), LogURL: p.LogURL(), HostListURL: p.HostListURL(),
		Workers: []Endpoint{}, Runners: []Endpoint{}, Relays: []Endpoint{},
	}
	for _, e := range p.Endpoints() {
		switch e.Kind {
		case "worker":
			r.Workers = append(r.Workers, e)
		case "runner":
			r.Runners = append(r.Runners, e)
		case "relay":
			r.Relays = append(r.Relays, e)
		}
	}
	return r
}

// Endpoints describes all fakes, ordered by name.
func (p *Platform) Endpoints() []Endpoint {
	var out []Endpoint
	for _, name := range p.FakeNames() {
		f, err := p.findFake(name)
		if err != nil {
			continue
		}
		e := Endpoint{Name: name, Kind: f.kind, Addr: f.addr()}
		if f.kind != "relay" {
			e.URL = "http://" + e.Addr
		}
		out = append(out, e)
	}
	return out
}

// adminHandler returns the handler of the admin interface; it forwards /admin/fakes/{name}/X to /admin/X of the named fake.
func (p *Platform) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/fakes", func(w http.ResponseWriter, _ *http.Request) {
		fault.WriteJSON(w, http.StatusOK, map[string][]Endpoint{"fakes": p.Endpoints()})
	})
	mux.HandleFunc("POST /admin/fakes/{name}/restart", func(w http.ResponseWriter, r *http.Request) {
		writeResult(w, p.RestartFake(r.PathValue("name")))
	})
	mux.HandleFunc("DELETE /admin/fakes/{name}", func(w http.ResponseWriter, r *http.Request) {
		writeResult(w, p.KillFake(r.PathValue("name")))
	})
	mux.HandleFunc("/admin/fakes/{name}/{rest}", func(w http.ResponseWriter, r *http.Request) {
		f, err := p.findFake(r.PathValue("name"))
		if err != nil {
			fault.WriteError(w, http.StatusNotFound, model.ErrorKindNotFound, err.Error())
			return
		}
		forwarded := r.Clone(r.Context())
		forwarded.URL.Path, forwarded.URL.RawPath = "/admin/"+r.PathValue("rest"), ""
		f.handler.ServeHTTP(w, forwarded)
	})
	mux.HandleFunc("PUT /admin/hosts/{id}", p.putHost)
	mux.HandleFunc("DELETE /admin/hosts/{id}", func(w http.ResponseWriter, r *http.Request) {
		if !p.HostList.Remove(model.HostID(r.PathValue("id"))) {
			fault.WriteError(w, http.StatusNotFound, model.ErrorKindNotFound, "the host is not listed")
			return
		}
		writeResult(w, nil)
	})
	mux.HandleFunc("POST /admin/partition", func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			Hosts  []model.HostID `json:"hosts"`
			Silent bool           `json:"silent"`
		}
		if fault.ReadJSON(w, r, &body) {
			p.Partition(body.Hosts, body.Silent)
			writeResult(w, nil)
		}
	})
	mux.HandleFunc("DELETE /admin/partition", func(w http.ResponseWriter, _ *http.Request) {
		p.HealPartitions()
		writeResult(w, nil)
	})
	mux.HandleFunc("GET /admin/ledger", func(w http.ResponseWriter, _ *http.Request) {
		fault.WriteJSON(w, http.StatusOK, p.Fleet.LedgerReport())
	})
	mux.HandleFunc("GET /admin/runs", func(w http.ResponseWriter, _ *http.Request) {
		fault.WriteJSON(w, http.StatusOK, runner.RunCounts{ByRequestID: p.RunCounts()})
	})
	return mux
}

// putHost handles PUT /admin/hosts/{id}. It sets the state of a listed host, and adds an entry host to the list or changes
// its address and failure domain.
func (p *Platform) putHost(w http.ResponseWriter, r *http.Request) {
	id := model.HostID(r.PathValue("id"))
	var body struct {
		State  hostclient.State `json:"state"`
		Addr   string           `json:"addr"`
		Domain model.DomainID   `json:"domain"`
	}
	if !fault.ReadJSON(w, r, &body) {
		return
	}
	if body.State != "" && body.State != hostclient.StateLive && body.State != hostclient.StateLeaving {
		fault.WriteError(w, http.StatusBadRequest, model.ErrorKindInvalid, "state must be live or leaving")
		return
	}
	var err error
	if h, ok := p.HostList.ActualHost(id); !ok || h.Role == hostclient.RoleEntry && body.Addr != "" {
		e := EntryHost{ID: id, Addr: h.Addr, Domain: h.Domain}
		if body.Addr != "" {
			e.Addr = body.Addr
		}
		if body.Domain != "" {
			e.Domain = body.Domain
		}
		if e.Addr == "" || e.Domain == "" {
			fault.WriteError(w, http.StatusNotFound, model.ErrorKindNotFound, "the host is not listed; addr and domain list an entry host")
			return
		}
		err = p.PutEntryHost(e)
	}
	if err == nil && body.State != "" {
		err = p.SetHostLeaving(id, body.State == hostclient.StateLeaving)
	}
	writeResult(w, err)
}

// writeResult responds with 200 and an empty object, or with 404 and the error.
func writeResult(w http.ResponseWriter, err error) {
	if err != nil {
		fault.WriteError(w, http.StatusNotFound, model.ErrorKindNotFound, err.Error())
		return
	}
	fault.WriteJSON(w, http.StatusOK, struct{}{})
}
