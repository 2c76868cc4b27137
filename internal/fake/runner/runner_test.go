package runner

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/fake/fault"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// postRun sends a service request with the given request id and body.
func postRun(h http.Handler, id, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "/v1/run", strings.NewReader(body))
	r.Header.Set("Request-Id", id)
	h.ServeHTTP(w, r)
	return w
}

// Guards against responses that cannot be matched with their request, a missing header Leaving and runs that are not counted.
func TestResponseIdentifiesRequest(t *testing.T) {
	is := is.New(t)
	r := New(Config{HostID: "r", Slots: 2, DefaultRunTime: time.Millisecond})
	h := r.Handler()
	body := `{"run-ms":1,"x":"y"}`
	w := postRun(h, "q", body)
	var resp RunResponse
	is.NoErr(json.Unmarshal(w.Body.Bytes(), &resp))
	digest := sha256.Sum256([]byte(body))
	is.Equal(resp, RunResponse{Runner: "r", RequestID: "q", SHA256: hex.EncodeToString(digest[:]), RunMS: 1})
	is.Equal(w.Header().Get("Request-Id"), "q")
	is.Equal(w.Header().Get("Free-Slots"), "2")
	is.Equal(w.Header().Get("Leaving"), "")
	r.SetLeaving(true)
	is.Equal(postRun(h, "q", "not json").Header().Get("Leaving"), "true")
	is.Equal(r.RunCounts(), map[model.RequestID]int{"q": 2})
	is.Equal(r.stats()["runs-while-leaving"], int64(1))
	is.Equal(postRun(h, "", "").Code, http.StatusBadRequest)
}

// Guards against a runner that refuses a request but runs it, and against slots that a restart does not free.
func TestSlots(t *testing.T) {
	is := is.New(t)
	r := New(Config{Slots: 1})
	srv := httptest.NewServer(r.Handler())
	defer srv.Close()
	errs := make(chan error, 1)
	go func() {
		req, _ := http.NewRequest(http.MethodPost, srv.URL+"/v1/run", strings.NewReader(`{"run-ms":60000}`))
		req.Header.Set("Request-Id", "long")
		_, err := http.DefaultClient.Do(req)
		errs <- err
	}()
	for r.stats()["busy"] == 0 {
		time.Sleep(time.Millisecond)
	}
	w := postRun(r.Handler(), "q", `{}`)
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(w.Header().Get("Not-Run"), "true")
	is.Equal(w.Header().Get("Free-Slots"), "0")
	r.Restart()
	is.True(<-errs != nil) // the request in progress gets no response
	is.Equal(postRun(r.Handler(), "q", `{"run-ms":1}`).Code, http.StatusOK)
	r.SetFaults(fault.Faults{Refuse: true})
	is.Equal(postRun(r.Handler(), "p", `{}`).Header().Get("Not-Run"), "true")
	is.Equal(r.RunCounts(), map[model.RequestID]int{"long": 1, "q": 1})
}
