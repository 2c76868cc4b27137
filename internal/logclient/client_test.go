package logclient

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

func outcome(err error) (model.Outcome, model.ErrorKind) {
	var e *model.Error
	if !errors.As(err, &e) {
		return "", ""
	}
	return e.Outcome, e.Kind
}

// A caller may repeat elsewhere what was not run, so that not-run must only be said where it is certain.
func TestAppendOutcomes(t *testing.T) {
	reply := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body) // the client may have gone
		}
	}
	received := make(chan struct{})
	hang := func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the server notices a lost client only once the body is read
		close(received)
		<-r.Context().Done()
	}
	cases := []struct {
		name    string
		handler http.HandlerFunc
		outcome model.Outcome
		kind    model.ErrorKind
	}{
		{"accepted", reply(200, `{"offset":7}`), "", ""},
		{"rate limited", reply(429, ``), model.OutcomeNotRun, model.KindLogUnavailable},
		{"down", reply(503, ``), model.OutcomeNotRun, model.KindLogUnavailable},
		{"refused", reply(400, ``), model.OutcomeNotRun, model.KindLogUnavailable},
		{"too large", reply(413, ``), model.OutcomeNotRun, model.KindTooLarge},
		{"internal error", reply(500, ``), model.OutcomeUnknown, model.KindLogUnavailable},
		{"gateway timeout", reply(504, ``), model.OutcomeUnknown, model.KindLogUnavailable},
		{"no offset", reply(200, `{}`), model.OutcomeUnknown, model.KindLogUnavailable},
		{"cut off", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, model.OutcomeUnknown, model.KindLogUnavailable},
		{"no answer", hang, model.OutcomeUnknown, model.KindLogUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			srv := httptest.NewServer(c.handler)
			defer srv.Close()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go func() { // the caller gives up once the request has arrived
				select {
				case <-received:
					cancel()
				case <-ctx.Done():
				}
			}()
			offset, err := New(srv.URL, "h", nil).Append(ctx, StreamJobs, "id", json.RawMessage(`[]`))
			o, k := outcome(err)
			is.Equal(o, c.outcome)
			is.Equal(k, c.kind)
			is.True(err != nil || offset == 7)
		})
	}
}

// A log that is down refuses connections; nothing was sent then.
func TestNoConnectionIsNotRun(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := l.Addr().String()
	is.NoErr(l.Close())
	_, err = New("http://"+addr, "h", nil).Append(t.Context(), StreamJobs, "id", json.RawMessage(`[]`))
	is.True(NotRun(err))
}

// The log service must see who asks and what, and a reader must learn where the stream now begins.
func TestReadAndTrimmed(t *testing.T) {
	is := is.New(t)
	withBody := true
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.Header.Get(HostHeader), "h")
		is.Equal(r.URL.Path, "/v1/streams/config/records")
		switch r.FormValue("from") {
		case "0":
			w.WriteHeader(http.StatusGone)
			if !withBody {
				return
			}
		case "5":
			is.Equal(r.URL.RawQuery, "from=5&max=10&wait-ms=1500")
			_, err := io.WriteString(w, `{"first":5,"next":6,"records":[{"offset":5,"id":"a","at-ms":1,"data":[]}]}`)
			is.NoErr(err)
			return
		}
		_, err := io.WriteString(w, `{"first":5,"next":6}`)
		is.NoErr(err)
	}))
	defer srv.Close()
	c := New(srv.URL+"/", "h", nil)
	reply, err := c.Read(t.Context(), StreamConfig, 5, 10, 1500*time.Millisecond)
	is.NoErr(err)
	is.Equal(len(reply.Records), 1)
	for _, withBody = range []bool{true, false} {
		_, err = c.Read(t.Context(), StreamConfig, 0, 10, 0)
		is.True(IsTrimmed(err))
		first, err := c.First(t.Context(), StreamConfig)
		is.NoErr(err)
		is.Equal(first, model.Offset(5))
	}
}

// A faulty reply must not make a reader skip or repeat offsets.
func FuzzDecodeReadReply(f *testing.F) {
	f.Add([]byte(`{"first":1,"next":3,"records":[{"offset":1,"id":"a","at-ms":1,"data":[]},{"offset":2}]}`))
	f.Add([]byte(`{"first":-1,"next":0}`))
	f.Add([]byte(`{"first":0,"next":1,"records":[{"offset":5}]}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, b []byte) {
		reply, err := DecodeReadReply(b)
		if err != nil {
			return
		}
		last := model.Offset(-1)
		for _, r := range reply.Records {
			if r.Offset <= last || r.Offset >= reply.Next {
				t.Fatalf("offset %d after %d, next %d", r.Offset, last, reply.Next)
			}
			last = r.Offset
		}
	})
}

// A reply without an offset must not pass as offset 0.
func FuzzDecodeAppendReply(f *testing.F) {
	f.Add([]byte(`{"offset":3}`))
	f.Add([]byte(`{}`))
	f.Add([]byte(`{"offset":-1}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, b []byte) {
		reply, err := DecodeAppendReply(b)
		if reply.Offset < 0 || err != nil && reply.Offset != 0 {
			t.Fatalf("offset %d, error %v", reply.Offset, err)
		}
	})
}

// Guards against a reader that never gets past records that exceed the bound of a reply together.
func TestReadsLargeRecordsOneByOne(t *testing.T) {
	is := is.New(t)
	var asked []string
	large := make([]byte, maxReply/4)
	for i := range large {
		large[i] = 'x'
	}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := r.URL.Query().Get("max")
		asked = append(asked, n)
		count := 5
		if n == "1" {
			count = 1
		}
		_, _ = io.WriteString(w, `{"first":0,"next":5,"records":[`)
		for i := range count {
			if i > 0 {
				_, _ = io.WriteString(w, ",")
			}
			_, _ = fmt.Fprintf(w, `{"offset":%d,"id":"r","at-ms":1,"data":"%s"}`, i, large)
		}
		_, _ = io.WriteString(w, `]}`)
	}))
	defer srv.Close()
	reply, err := New(srv.URL, "h1", nil).Read(t.Context(), StreamJobs, 0, 20, 0)
	is.NoErr(err)
	is.Equal(len(reply.Records), 1)
	is.Equal(asked, []string{"20", "2", "1"})
}
