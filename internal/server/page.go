package server

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// handleStatusPage serves a read-only status page in plain text. Without a token, the page shows only whether the host is
// ready, because callers use the same listener and must not see the names and loads of other workspaces. A token must be that
// of an operator.
func (s *Server) handleStatusPage(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Authorization") != "" {
		s.requireOperator(s.handleFullStatusPage)(w, r)
		return
	}
	text := "ready\n"
	if err := s.Backend.CheckReady(); err != nil {
		text = "not ready: " + err.Error() + "\n"
	}
	writePage(w, text+"\nSend an operator's bearer token for the whole page.\n")
}

func (s *Server) handleFullStatusPage(w http.ResponseWriter, r *http.Request, _ Identity) {
	status, err := s.Backend.Status(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	var b strings.Builder
	formatStatus(&b, status)
	writePage(w, b.String())
}

func writePage(w http.ResponseWriter, text string) {
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("X-Content-Type-Options", "nosniff")
	h.Set("Cache-Control", "no-store")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	setWriteDeadline(w)
	_, _ = io.WriteString(w, text)
}

// formatStatus writes the status as aligned tables.
func formatStatus(out io.Writer, s model.HostStatus) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer func() { _ = w.Flush() }()
	fmt.Fprintf(w, "host\t%s\nfailure domain\t%s\nregion\t%s\n", s.Host, s.FailureDomain, s.Region)
	fmt.Fprintf(w, "ready\t%t %s\ndraining\t%t\n", s.Ready, s.NotReadyReason, s.Draining)
	fmt.Fprintf(w, "configuration\t%d\nrole\t%s\nleader\t%s fence %d\n", s.ConfigVersion, s.Role, s.Leader, s.Fence)
	log := "reachable"
	if !s.LogReachable {
		log = "unreachable"
	}
	fmt.Fprintf(w, "log\t%s\n", log)
	for _, invariant := range slices.Sorted(maps.Keys(s.InvariantViolations)) {
		fmt.Fprintf(w, "invariant violated\t%s %d times\n", invariant, s.InvariantViolations[invariant])
	}
	fmt.Fprint(w, "\nWORKSPACE\tQUEUED\tRUNNING\tIN USE\tQUOTA\n")
	for _, workspace := range s.Workspaces {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\n", workspace.Workspace, workspace.Queued, workspace.Running, workspace.InUse, workspace.Quota)
	}
	fmt.Fprint(w, "\nENTRY HOST\tFAILURE DOMAIN\tLIVE\n")
	for _, peer := range s.Peers {
		fmt.Fprintf(w, "%s\t%s\t%t\n", peer.Host, peer.FailureDomain, peer.Live)
	}
	fmt.Fprint(w, "\nWORKER\tRACK\tHEALTH\n")
	for _, worker := range s.Workers {
		fmt.Fprintf(w, "%s\t%s\t%s\n", worker.Worker, worker.Rack, worker.Health)
	}
}
