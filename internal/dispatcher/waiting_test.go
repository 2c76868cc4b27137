package dispatcher

import (
	"bytes"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/journaler"
)

// Guards against work that waits without a trace of what keeps it from the workers.
func TestLongWaitIsLoggedWithReasons(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	var logs bytes.Buffer
	f.Logger = hclog.New(&hclog.LoggerOptions{Output: &logs})
	f.addJob(journaler.Job{Submission: newSubmission("waiting", 1, 1)}, f.now)
	f.worker.isResponding = false
	for ms := 0; ms <= 20_000; ms += 500 {
		f.schedule(f.later(ms))
	}
	is.Equal(strings.Count(logs.String(), "step waits for workers"), 2) // after 3 s and after 13 s
	is.True(strings.Contains(logs.String(), "unreachable"))
}
