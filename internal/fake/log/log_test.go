package log

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/fake/fault"
	"chestnutmux.example/chestnutmux/internal/logclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

func add(h http.Handler, id, data string) (int, model.Offset) {
	w := httptest.NewRecorder()
	body := fmt.Sprintf(`{"id":%q,"data":%s}`, id, data)
	h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/streams/jobs/records", strings.NewReader(body)))
	var reply logclient.AppendReply
	_ = json.Unmarshal(w.Body.Bytes(), &reply)
	return w.Code, reply.Offset
}

func read(h http.Handler, query string) (int, logclient.ReadReply) {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/streams/jobs/records?"+query, nil))
	var reply logclient.ReadReply
	_ = json.Unmarshal(w.Body.Bytes(), &reply)
	return w.Code, reply
}

// Guards against gaps in the offsets and against a log that hides repeats from its readers.
func TestAppendKeepsOrderAndRepeats(t *testing.T) {
	is := is.New(t)
	h := New(Options{}).Handler()
	for i, id := range []string{"a", "b", "a"} {
		code, off := add(h, id, `1`)
		is.Equal(code, http.StatusOK)
		is.Equal(off, model.Offset(i))
	}
	_, reply := read(h, "from=1&max=1")
	is.Equal(len(reply.Records), 1)
	is.Equal(reply.Records[0].ID, "b")
	is.Equal(reply.Next, model.Offset(3))
	_, reply = read(h, "from=2")
	is.Equal(reply.Records[0].ID, "a")
	code, _ := read(h, "max=0")
	is.Equal(code, http.StatusBadRequest)
	code, _ = add(h, "", `1`)
	is.Equal(code, http.StatusBadRequest)
}

// Guards against records that outlive the retention, and trimmed reads that look complete.
func TestRetention(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	h := New(Options{Retention: time.Minute, MaxRecords: 3, Now: func() time.Time { return now }}).Handler()
	for i := range 5 {
		add(h, fmt.Sprint(i), `1`)
	}
	code, reply := read(h, "from=1")
	is.Equal(code, http.StatusGone)
	is.Equal(reply.First, model.Offset(2))
	now = now.Add(time.Minute)
	code, reply = read(h, "from=5")
	is.Equal(code, http.StatusOK)
	is.Equal(reply.First, model.Offset(5)) // all expired, the offsets go on
	_, off := add(h, "x", `1`)
	is.Equal(off, model.Offset(5))
}

// Guards against a log that accepts more appends than the platform does.
func TestRateLimit(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	l := New(Options{AppendsPerSecond: 2, Now: func() time.Time { return now }})
	h := l.Handler()
	for _, want := range []int{200, 200, 429} {
		code, _ := add(h, "a", `1`)
		is.Equal(code, want)
	}
	now = now.Add(500 * time.Millisecond)
	code, _ := add(h, "a", `1`)
	is.Equal(code, http.StatusOK)
	now = now.Add(time.Minute)
	l.Set(fault.Faults{Refuse: true})
	code, _ = add(h, "a", `1`)
	is.Equal(code, http.StatusTooManyRequests)
}

// Guards against readers that wait although a record has arrived, or get an answer before.
func TestLongPoll(t *testing.T) {
	is := is.New(t)
	h := New(Options{}).Handler()
	got := make(chan logclient.ReadReply, 1)
	go func() {
		_, reply := read(h, "from=1&wait-ms=60000")
		got <- reply
	}()
	add(h, "a", `1`)
	add(h, "b", `2`)
	is.Equal((<-got).Records[0].ID, "b")
	_, reply := read(h, "from=2&wait-ms=1")
	is.Equal(len(reply.Records), 0)
}

// Guards against unbounded memory: bodies above 4 MiB are refused and one answer stays near 4 MiB.
func TestSizesAreBounded(t *testing.T) {
	is := is.New(t)
	h := New(Options{}).Handler()
	code, _ := add(h, "a", `"`+strings.Repeat("x", fault.MaxBody)+`"`)
	is.Equal(code, http.StatusRequestEntityTooLarge)
	for range 3 {
		add(h, "a", `"`+strings.Repeat("x", 3<<20)+`"`)
	}
	_, reply := read(h, "from=0")
	is.Equal(len(reply.Records), 1)
}

// Guards against records that are lost although only their answer was lost.
func TestAnswerLostKeepsTheEffect(t *testing.T) {
	is := is.New(t)
	l := New(Options{})
	srv := httptest.NewServer(l.Handler())
	defer srv.Close()
	l.Set(fault.Faults{AnswerLost: true})
	_, err := http.Post(srv.URL+"/v1/streams/jobs/records", "", strings.NewReader(`{"id":"a","data":1}`))
	is.True(err != nil)
	resp, err := http.Get(srv.URL + "/v1/streams/jobs/records") // reads are still answered
	is.NoErr(err)
	body, _ := io.ReadAll(resp.Body)
	resp.Body.Close()
	is.True(strings.Contains(string(body), `"id":"a"`))
}
