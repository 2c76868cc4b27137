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

// MaxBodyBytes is the size limit of a request body.
const MaxBodyBytes = 4 << 20

// HeaderHostID is the header in which an entry host sends its id.
const HeaderHostID = "Host-Id"

// Wrap returns a handler that applies the faults to requests for next, except those below /admin/, and that serves
// /admin/faults and /admin/stats. The counters of stats, which may be nil, are added to those of the injector.
func (i *Injector) Wrap(next http.Handler, stats func() map[string]int64) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/faults", func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, i.Faults())
	})
	mux.HandleFunc("POST /admin/faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if ReadJSON(w, r, &f) {
			i.SetFaults(f)
			WriteJSON(w, http.StatusOK, f)
		}
	})
	mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) {
		counters := i.RequestStats()
		if stats != nil {
			for k, v := range stats() {
				counters[k] = v
			}
		}
		WriteJSON(w, http.StatusOK, counters)
	})
	mux.Handle("/admin/", next)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { i.serve(w, r, next) })
	return mux
}

// serve passes a request to next under the current faults; the response is buffered, so that it can still be dropped.
func (i *Injector) serve(w http.ResponseWriter, r *http.Request, next http.Handler) {
	i.requests.Add(1)
	_, generation, _ := i.watch()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if err != nil {
		writeBodyError(w, err)
		return
	}
	i.bytesIn.Add(int64(len(body)))
	host := model.HostID(r.Header.Get(HeaderHostID))
	ctx := r.Context()
	if r.Method != http.MethodGet {
		// A received request takes effect even if its client gives up before it is handled.
		ctx = context.WithoutCancel(ctx)
	}
	if f, _, changed := i.watch(); f.isCutOff(host) {
		if f.CutSilent {
			select {
			case <-changed:
			case <-r.Context().Done():
			}
		}
		i.abortRequest()
	}
	if !i.waitWhileFrozen(ctx, generation) || !i.waitDelay(ctx, generation) {
		i.abortRequest()
	}
	if i.Faults().Down {
		WriteError(w, http.StatusServiceUnavailable, model.ErrorKindNotReady, "the service is down")
		return
	}
	req := r.WithContext(ctx)
	req.Body = io.NopCloser(bytes.NewReader(body))
	resp := &bufferedResponse{header: http.Header{}, status: http.StatusOK}
	next.ServeHTTP(resp, req)
	if !i.waitWhileFrozen(ctx, generation) {
		i.abortRequest()
	}
	f := i.Faults()
	if f.isCutOff(host) || f.ResponseLost && r.Method != http.MethodGet {
		i.abortRequest()
	}
	for k, v := range resp.header {
		w.Header()[k] = v
	}
	w.WriteHeader(resp.status)
	n, _ := w.Write(resp.body.Bytes())
	i.bytesOut.Add(int64(n))
}

// abortRequest closes the connection without a response.
func (i *Injector) abortRequest() {
	i.dropped.Add(1)
	panic(http.ErrAbortHandler)
}

// bufferedResponse buffers a response until the faults permit sending it.
type bufferedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (b *bufferedResponse) Header() http.Header         { return b.header }
func (b *bufferedResponse) WriteHeader(status int)      { b.status = status }
func (b *bufferedResponse) Write(p []byte) (int, error) { return b.body.Write(p) }

// ReadJSON decodes a request body of at most MaxBodyBytes into v; on failure it writes an error response and reports false.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBodyBytes)).Decode(v); err != nil {
		writeBodyError(w, err)
		return false
	}
	return true
}

// WriteJSON writes a response with v as its JSON body.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// WriteError writes an error response in the format of model.Error.
func WriteError(w http.ResponseWriter, status int, kind model.ErrorKind, message string) {
	WriteJSON(w, status, &model.Error{Kind: kind, Message: message})
}

// writeBodyError responds with 413 if the body exceeds the limit, and with 400 to any other error of reading it.
func writeBodyError(w http.ResponseWriter, err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		WriteError(w, http.StatusRequestEntityTooLarge, model.ErrorKindTooLarge, "the body exceeds 4 MiB")
		return
	}
	WriteError(w, http.StatusBadRequest, model.ErrorKindInvalid, "body: "+err.Error())
}
