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

// minCompressed is the size in bytes from which a list is worth compressing; a smaller one fits a packet.
const minCompressed = 1400

// serve answers with the list, with 304 when the client knows it, and compressed when the client takes that.
func (h *HostList) serve(w http.ResponseWriter, r *http.Request) {
	tag := h.tag()
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	body, err := json.Marshal(h.VisibleHosts(model.HostID(r.Header.Get(fault.HeaderHostID))))
	if err != nil {
		fault.WriteError(w, http.StatusInternalServerError, model.ErrorKindInvalid, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if len(body) < minCompressed || !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		_, _ = w.Write(body)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	z := gzip.NewWriter(w)
	_, _ = z.Write(body)
	_ = z.Close()
}

// tag names the list that is visible now; it is weak because the encoding may differ.
//
// A change between tag and List makes the list newer than its tag, and the next read gets it again.
func (h *HostList) tag() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.settle()
	return fmt.Sprintf(`W/"%s-%d"`, h.epoch, h.edition)
}
