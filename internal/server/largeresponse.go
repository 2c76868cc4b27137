package server

import (
	"encoding/json"
	"expvar"
	"net/http"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/semaphore"

	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// responseDivisor divides the memory of the process into the part for lists until their callers have received them.
	responseDivisor = 16
	// smallResponse is the size up to which responses don't count. Callers that wait for it to be sent take more by their connections.
	smallResponse = 16 << 10
	// maxListsEncoded is the number of lists that are made at a time. A list takes several times its size until it is encoded.
	maxListsEncoded = 2
	// listRetryAfterMS is the Retry-After hint if other lists take the memory; a client that does not read is disconnected after writeTimeout.
	listRetryAfterMS model.Millis = 5_000
)

// lists bounds the memory of lists of jobs. The zero value sets no bound.
type lists struct {
	refused  expvar.Int
	encoding *semaphore.Weighted // lists that are being made
	memory   *semaphore.Weighted // bytes of lists that have not been sent
}

// newLists returns the bounds for the memory of a process; 0 sets no bound.
func newLists(memoryBytes int64) *lists {
	if memoryBytes <= 0 {
		return &lists{}
	}
	return &lists{encoding: semaphore.NewWeighted(maxListsEncoded), memory: semaphore.NewWeighted(memoryBytes / responseDivisor)}
}

// write makes a list and writes it, or refuses it if there is no room.
func (l *lists) write(w http.ResponseWriter, r *http.Request, logger hclog.Logger, list func() (any, error)) {
	data, err := l.encode(r, list)
	if err != nil {
		writeError(w, err)
		return
	}
	if size := int64(len(data)); l.memory != nil && size > smallResponse {
		if !l.memory.TryAcquire(size) {
			l.refused.Add(1)
			logger.Warn("list of jobs refused", "bytes", size, "refused", l.refused.Value(), "remedy", "find the clients that do not read lists, or raise memory-mb")
			writeError(w, &model.Error{
				Outcome: model.OutcomeNotRun, Kind: model.ErrorKindOverloaded, Message: "lists that their callers have not read take the memory for lists",
				Remedy: "read lists at once, ask for single jobs, or raise memory-mb", RetryAfterMS: listRetryAfterMS,
			})
			return
		}
		defer l.memory.Release(size)
	}
	writeEncoded(w, http.StatusOK, data)
}

// encode makes and encodes a list once few others are being made.
func (l *lists) encode(r *http.Request, list func() (any, error)) ([]byte, error) {
	if l.encoding != nil {
		if err := l.encoding.Acquire(r.Context(), 1); err != nil {
			return nil, err // the caller has disconnected
		}
		defer l.encoding.Release(1)
	}
	v, err := list()
	if err != nil {
		return nil, err
	}
	return json.Marshal(v)
}
