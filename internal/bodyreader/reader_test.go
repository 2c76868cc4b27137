package bodyreader

import (
	"bytes"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against a size that the budget refuses, or below the largest one that it admits.
func TestLargestBody(t *testing.T) {
	for _, capacity := range []int64{100, 2 * FirstStepBytes, 2*FirstStepBytes + 1, 21844, 1 << 20, 184 << 17} {
		is := is.New(t)
		var budget Budget
		budget.SetCapacity(capacity)
		size := LargestBody(capacity)
		fits, tooLarge := Charge{budget: &budget}, Charge{budget: &budget}
		is.True(!tooLarge.Grow(size + 1))
		is.True(fits.Grow(size))
	}
}

// recordingClient records what a reader asks of a client.
type recordingClient struct {
	deadlines int
	waiting   bool
	closed    bool
}

func (c *recordingClient) SetReadDeadline(time.Time) error { c.deadlines++; return nil }

func (c *recordingClient) SetWaiting(waiting bool) error {
	c.waiting = waiting
	if c.closed {
		return net.ErrClosed
	}
	return nil
}

// Guards against requests that are carried out although their connection was closed while they waited for their body.
func TestBodyOfClosedConnectionIsNotReturned(t *testing.T) {
	is := is.New(t)
	r := &Reader{}
	client := &recordingClient{}
	src := iotest.DataErrReader(strings.NewReader("body"))
	closing := readerFunc(func(p []byte) (int, error) { client.closed = true; return src.Read(p) })
	_, err := r.Read(closing, 4, 100, client)
	is.True(errors.Is(err, net.ErrClosed))
	is.Equal(r.Budget.Used(), int64(0))
}

// readerFunc is a function that reads.
type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// Guards against bodies that are cut or altered, charges that are not returned, and budgets that are exceeded.
func TestBodiesAreReadWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(0, 300_000).Draw(t, "limit")
		data := bytes.Repeat([]byte("0123456789"), 30_001)[:rapid.IntRange(0, 300_000).Draw(t, "length")]
		declared := int64(len(data))
		if rapid.Bool().Draw(t, "chunked") {
			declared = -1
		}
		var src io.Reader = bytes.NewReader(data)
		if rapid.Bool().Draw(t, "halves") {
			src = iotest.HalfReader(src)
		}
		r := &Reader{Pace: Pace{Timeout: time.Second, MinRate: 1}}
		capacity := rapid.Int64Range(1, 1_000_000).Draw(t, "capacity")
		r.Budget.SetCapacity(capacity)
		client := &recordingClient{}
		b, err := r.Read(src, declared, limit, client)
		switch {
		case err == nil && (int64(len(data)) > limit || !bytes.Equal(b.Data, data)):
			t.Fatal("a wrong body was read")
		case err == nil && (r.Budget.Used() > capacity || r.Budget.Used() < int64(len(data))*bytesPerBuffered || client.waiting):
			t.Fatal("the charge is wrong, or the request waits for its client")
		case errors.Is(err, ErrTooLarge) && int64(len(data)) <= limit, err != nil && !errors.Is(err, ErrTooLarge) && !errors.Is(err, ErrNoBudget):
			t.Fatal(err)
		case errors.Is(err, ErrNoBudget) && capacity > 4*(limit+1+FirstStepBytes):
			t.Fatal("refused in spite of the budget")
		}
		b.Release()
		b.Release()
		if r.Budget.Used() != 0 {
			t.Fatalf("%d bytes are still charged", r.Budget.Used())
		}
	})
}

// Guards against ordinary requests that pay for deadlines, and large bodies without one.
func TestOnlyLargeBodiesHaveDeadlines(t *testing.T) {
	is := is.New(t)
	r := &Reader{Pace: Pace{Timeout: time.Second, MinRate: 1 << 10}}
	for length, deadlines := range map[int]int{5_000: 0, FirstStepBytes: 0, FirstStepBytes + 1: 1, 262_144: 5} {
		client := &recordingClient{}
		_, err := r.Read(strings.NewReader(strings.Repeat("x", length)), int64(length), 262_144, client)
		is.NoErr(err)
		is.Equal(client.deadlines, deadlines)
	}
}

// Guards against large bodies that leave no memory for ordinary ones, and errors that hide that a client was too slow.
func TestRefusals(t *testing.T) {
	is := is.New(t)
	r := &Reader{}
	r.Budget.SetCapacity(200_000)
	large, err := r.Read(strings.NewReader(strings.Repeat("x", 70_000)), 70_000, 262_144, &recordingClient{})
	is.NoErr(err)
	_, err = r.Read(strings.NewReader(strings.Repeat("x", 20_000)), 20_000, 262_144, &recordingClient{})
	is.True(errors.Is(err, ErrNoBudget))
	small, err := r.Read(strings.NewReader(strings.Repeat("x", 5_000)), 5_000, 262_144, &recordingClient{})
	is.NoErr(err)
	large.Release()
	small.Release()
	_, err = r.Read(iotest.ErrReader(os.ErrDeadlineExceeded), 5_000, 262_144, &recordingClient{})
	is.True(errors.Is(err, ErrTooSlow))
	is.Equal(r.Refused.Value()+r.TooSlow.Value(), int64(2))
	is.Equal(r.Budget.Used(), int64(0))
}

// Guards against a request that is refused because one beside it, which is refused, is charged meanwhile.
func TestRefusedRequestTakesNoRoom(t *testing.T) {
	is := is.New(t)
	b := &Budget{}
	b.SetCapacity(40_000)
	var stopped atomic.Bool
	var others sync.WaitGroup
	for range 4 {
		others.Go(func() {
			for !stopped.Load() {
				(&Charge{budget: b}).Grow(1 << 20) // never fits
			}
		})
	}
	refused := 0
	for range 500_000 {
		c := Charge{budget: b}
		if !c.Grow(5_000) {
			refused++
		}
		c.Release()
	}
	stopped.Store(true)
	others.Wait()
	is.Equal(refused, 0)
}

// Guards against time limits that a client inside the users' limits meets, and bodies that take longer than allowed.
func TestPace(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	p := Pace{Timeout: 10 * time.Second, Grace: time.Second, MinRate: 32 << 10}
	is.Equal(p.Deadline(start, start, 16<<10), start.Add(1500*time.Millisecond))
	is.Equal(p.Deadline(start, start.Add(9*time.Second), 64<<10), start.Add(10*time.Second))
	is.Equal(Pace{Timeout: time.Second}.Deadline(start, start, 1<<20), start.Add(time.Second))
}
