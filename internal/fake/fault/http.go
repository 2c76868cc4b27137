package fault

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// MaxBodyBytes is the largest request body that a fake reads, in bytes.
const MaxBodyBytes = 4 << 20

// HeaderHostID names the header in which an entry host gives its id.
const HeaderHostID = "Host-Id"

// Wrap applies the faults to all requests of next but those below /admin/, and serves
// /admin/faults and /admin/stats; stats adds counters to the switch's own and may be nil.
func (s *Injector) Wrap(next http.Handler, stats func() map[string]int64) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/faults", func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, s.Faults())
	})
	mux.HandleFunc("POST /admin/faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if ReadJSON(w, r, &f) {
			s.SetFaults(f)
			WriteJSON(w, http.StatusOK, f)
		}
	})
	mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) {
		all := s.RequestStats()
		if stats != nil {
			for k, v := range stats() {
				all[k] = v
			}
		}
		WriteJSON(w, http.StatusOK, all)
	})
	mux.Handle("/admin/", next)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, next) })
	return mux
}

func (s *Injector) serve(w http.ResponseWriter, r *http.Request, next http.Handler) {
	s.requests.Add(1)
	_, generation, _ := s.watch()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if err != nil {
		writeBodyError(w, err)
		return
	}
	s.bytesIn.Add(int64(len(body)))
	from := model.HostID(r.Header.Get(HeaderHostID))
	ctx := r.Context()
	if r.Method != http.MethodGet {
		// A request that was received takes effect even if its client gives up meanwhile.
		ctx = context.WithoutCancel(ctx)
	}
	if f, _, changed := s.watch(); f.cut(from) {
		if f.CutSilent {
			select {
			case <-changed:
			case <-r.Context().Done():
			}
		}
		s.abort()
	}
	if !s.hold(ctx, generation) || !s.delay(ctx, generation) {
		s.abort()
	}
	if s.Faults().Down {
		WriteError(w, http.StatusServiceUnavailable, model.ErrorKindNotReady, "the service is down")
		return
	}
	req := r.WithContext(ctx)
	req.Body = io.NopCloser(bytes.NewReader(body))
	a := &answer{header: http.Header{}, status: http.StatusOK}
	next.ServeHTTP(a, req)
	if !s.hold(ctx, generation) {
		s.abort()
	}
	f := s.Faults()
	if f.cut(from) || f.AnswerLost && r.Method != http.MethodGet {
		s.abort()
	}
	for k, v := range a.header {
		w.Header()[k] = v
	}
	w.WriteHeader(a.status)
	n, _ := w.Write(a.body.Bytes())
	s.bytesOut.Add(int64(n))
}

// abort closes the connection without an answer.
func (s *Injector) abort() {
	s.dropped.Add(1)
	panic(http.ErrAbortHandler)
}

// answer keeps an answer back until the faults allow to send it.
type answer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (a *answer) Header() http.Header         { return a.header }
func (a *answer) WriteHeader(status int)      { a.status = status }
func (a *answer) Write(p []byte) (int, error) { return a.body.Write(p) }

// ReadJSON decodes a body of at most MaxBody bytes; on failure it answers and reports false.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBodyBytes)).Decode(v); err != nil {
		writeBodyError(w, err)
		return false
	}
	return true
}

// WriteJSON answers with v as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// WriteError answers with a typed error.
func WriteError(w http.ResponseWriter, status int, kind model.ErrorKind, message string) {
	WriteJSON(w, status, &model.Error{Kind: kind, Message: message})
}

func writeBodyError(w http.ResponseWriter, err error) {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		WriteError(w, http.StatusRequestEntityTooLarge, model.ErrorKindTooLarge, "the body exceeds 4 MiB")
		return
	}
	WriteError(w, http.StatusBadRequest, model.ErrorKindInvalid, "body: "+err.Error())
}
