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

func call(h http.Handler, id, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "/v1/run", strings.NewReader(body))
	r.Header.Set("Request-Id", id)
	h.ServeHTTP(w, r)
	return w
}

// Guards against answers that cannot be matched with their request, and runs that are not counted.
func TestAnswerEchoesTheRequest(t *testing.T) {
	is := is.New(t)
	r := New(Config{HostID: "r", Slots: 2, DefaultRunTime: time.Millisecond})
	h := r.Handler()
	body := `{"run-ms":1,"x":"y"}`
	w := call(h, "q", body)
	var a RunResponse
	is.NoErr(json.Unmarshal(w.Body.Bytes(), &a))
	sum := sha256.Sum256([]byte(body))
	is.Equal(a, RunResponse{Runner: "r", RequestID: "q", SHA256: hex.EncodeToString(sum[:]), RunMS: 1})
	is.Equal(w.Header().Get("Request-Id"), "q")
	is.Equal(w.Header().Get("Free-Slots"), "2")
	is.Equal(w.Header().Get("Leaving"), "")
	r.SetLeaving(true)
	is.Equal(call(h, "q", "not json").Header().Get("Leaving"), "true")
	is.Equal(r.RunCounts(), map[model.RequestID]int{"q": 2})
	is.Equal(r.stats()["runs-while-leaving"], int64(1))
	is.Equal(call(h, "", "").Code, http.StatusBadRequest)
}

// Guards against a refused request that was run, and against slots that a restart does not free.
func TestSlots(t *testing.T) {
	is := is.New(t)
	r := New(Config{Slots: 1})
	srv := httptest.NewServer(r.Handler())
	defer srv.Close()
	lost := make(chan error, 1)
	go func() {
		req, _ := http.NewRequest(http.MethodPost, srv.URL+"/v1/run", strings.NewReader(`{"run-ms":60000}`))
		req.Header.Set("Request-Id", "long")
		_, err := http.DefaultClient.Do(req)
		lost <- err
	}()
	for r.stats()["busy"] == 0 {
		time.Sleep(time.Millisecond)
	}
	w := call(r.Handler(), "q", `{}`)
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(w.Header().Get("Not-Run"), "true")
	is.Equal(w.Header().Get("Free-Slots"), "0")
	r.Restart()
	is.True(<-lost != nil) // the request in progress gets no answer
	is.Equal(call(r.Handler(), "q", `{"run-ms":1}`).Code, http.StatusOK)
	r.SetFaults(fault.Faults{Refuse: true})
	is.Equal(call(r.Handler(), "p", `{}`).Header().Get("Not-Run"), "true")
	is.Equal(r.RunCounts(), map[model.RequestID]int{"long": 1, "q": 1})
}
