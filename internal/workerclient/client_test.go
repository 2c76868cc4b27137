package workerclient

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Guards against batches that arrive changed or without the host's id, refused terms that
// are lost, and a connection per batch.
func TestSend(t *testing.T) {
	is := is.New(t)
	conns := map[string]bool{}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var b Batch
		is.NoErr(json.NewDecoder(r.Body).Decode(&b))
		is.Equal(r.Method+r.URL.Path+r.Header.Get("Host-Id"), "POST/v1/opsh1")
		conns[r.RemoteAddr] = true
		if b.Term.Number < 5 {
			w.WriteHeader(http.StatusConflict)
			_ = json.NewEncoder(w).Encode(Reply{Worker: "w", Error: model.KindStaleTerm, Term: model.Term{Number: 5}})
			return
		}
		_ = json.NewEncoder(w).Encode(Reply{Worker: "w", Term: b.Term, Results: []Result{{Task: b.Ops[0].Task}}})
	}))
	defer srv.Close()
	c := NewClient("h1", nil)
	defer c.Close()
	addr := strings.TrimPrefix(srv.URL, "http://")
	r, err := c.Send(t.Context(), addr, Batch{Term: model.Term{Number: 4}})
	is.NoErr(err)
	is.Equal(r.Error, model.KindStaleTerm)
	r, err = c.Send(t.Context(), addr, Batch{Term: model.Term{Number: 5}, Ops: []Op{{Kind: OpStop, Task: "j/1/0"}}})
	is.NoErr(err)
	is.Equal(r.Results[0].Task, model.TaskID("j/1/0"))
	is.Equal(len(conns), 1)
}

// Guards against "not-run" where the worker may have applied the batch, and against unbounded answers and waits.
func TestSendOutcomes(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	answers := map[string]func(http.ResponseWriter, *http.Request){
		"broken":  func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{")) },
		"closed":  func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"status":  func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500); _, _ = w.Write([]byte("{}")) },
		"large":   func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, maxReply+1)) },
		"aborted": func(_ http.ResponseWriter, r *http.Request) { cancel(); <-r.Context().Done() },
	}
	for _, name := range []string{"broken", "closed", "status", "large", "aborted"} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			var b Batch
			_ = json.NewDecoder(r.Body).Decode(&b) // the server notices a lost client only after the body
			answers[name](w, r)
		}))
		c := NewClient("h1", nil)
		_, err := c.Send(ctx, strings.TrimPrefix(srv.URL, "http://"), Batch{})
		is.True(err != nil && !IsNotRun(err)) // unknown
		c.Close()
		srv.Close()
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l.Close()
	c := NewClient("h1", nil)
	short, stop := context.WithTimeout(t.Context(), 5*time.Second)
	defer stop()
	_, err = c.Send(short, l.Addr().String(), Batch{})
	is.True(IsNotRun(err)) // nobody listens
}
