package hosts

import (
	"compress/gzip"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"chestnutmux.example/chestnutmux/internal/fake/fault"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// minGzipBytes is the minimum size of a list that is compressed; a smaller one fits into one packet without compression.
const minGzipBytes = 1400

// serveList responds with the host list, or with 304 if the client already has it. The list is compressed if the client accepts gzip
// and the list has at least minGzipBytes.
func (h *HostList) serveList(w http.ResponseWriter, r *http.Request) {
	etag := h.etag()
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	body, err := json.Marshal(h.VisibleHosts(model.HostID(r.Header.Get(fault.HeaderHostID))))
	if err != nil {
		fault.WriteError(w, http.StatusInternalServerError, model.ErrorKindInvalid, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if len(body) < minGzipBytes || !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		_, _ = w.Write(body)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	zw := gzip.NewWriter(w)
	_, _ = zw.Write(body)
	_ = zw.Close()
}

// etag returns the ETag of the list that is visible now; it is weak because the encoding may differ.
//
// If the list changes between the calls of etag and VisibleHosts, the response has a newer list than its ETag says, and the
// next request gets the same list again.
func (h *HostList) etag() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.applyDueChanges()
	return fmt.Sprintf(`W/"%s-%d"`, h.listID, h.version)
}
