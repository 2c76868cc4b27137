package bodyreader

import (
	"expvar"
	"io"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// FirstStepBytes is the largest buffer that a request gets before any of its body has been read. An ordinary body of about 5 KB
// fits.
const FirstStepBytes = 8 << 10

// Errors of Read. After each of them nothing of the request has taken effect.
var (
	ErrTooLarge = errors.New("bodyreader: the body is larger than the limit; send less")
	ErrNoBudget = errors.New("bodyreader: requests in progress use the memory for bodies; repeat the request later")
	ErrTooSlow  = errors.New("bodyreader: the body did not arrive in time; send it in one go")
)

// Pace is the time that a client has for a body. The zero value sets no limit.
type Pace struct {
	Timeout time.Duration // time for the whole body
	Grace   time.Duration // time for each step of the buffer beside that of MinRate
	MinRate int64         // least rate in bytes per second
}

// Deadline returns the time by which a client that began to send at start has to have sent the next bytes.
func (p Pace) Deadline(start, now time.Time, next int64) time.Time {
	deadline := start.Add(p.Timeout)
	if p.MinRate <= 0 {
		return deadline
	}
	if step := now.Add(p.Grace + time.Duration(next)*time.Second/time.Duration(p.MinRate)); step.Before(deadline) {
		return step
	}
	return deadline
}

// Client is the sender of a body.
type Client interface {
	// SetReadDeadline sets the time until which it can send.
	SetReadDeadline(deadline time.Time) error
	// SetWaiting records whether the request waits for the client. It fails if the connection has been closed meanwhile.
	SetWaiting(waiting bool) error
}

// Reader reads bodies. Its counters may be read at any time.
type Reader struct {
	Budget Budget
	Pace   Pace

	Refused  expvar.Int // bodies that the budget did not admit
	TooSlow  expvar.Int // bodies that did not arrive in time
	TooLarge expvar.Int // bodies over the limit of their request
}

// Body is a body that was read whole. The budget is charged for it until Release.
type Body struct {
	Data []byte
	Charge
}

// Read reads a body of at most limit bytes; declared is its length, or negative if that is not known. A body of unknown length
// grows from FirstStepBytes by doubling, each step admitted by the budget. A body that fits the first step is read without
// setting a deadline: the server's limit for whole requests holds for it.
func (r *Reader) Read(src io.Reader, declared, limit int64, client Client) (Body, error) {
	b, err := r.read(src, declared, limit, client)
	if err == nil {
		return b, nil
	}
	b.Release()
	var timeout net.Error
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout() {
		err = errors.CombineErrors(ErrTooSlow, err)
	}
	switch {
	case errors.Is(err, ErrNoBudget):
		r.Refused.Add(1)
	case errors.Is(err, ErrTooSlow):
		r.TooSlow.Add(1)
	case errors.Is(err, ErrTooLarge):
		r.TooLarge.Add(1)
	}
	return Body{}, err
}

func (r *Reader) read(src io.Reader, declared, limit int64, client Client) (Body, error) {
	b := Body{Charge: Charge{budget: &r.Budget}}
	if declared > limit {
		return b, ErrTooLarge
	}
	whole := limit + 1 // a buffer of this size tells a body over the limit
	if declared >= 0 {
		whole = declared
	}
	size := min(whole, FirstStepBytes)
	if !b.Grow(size) {
		return b, ErrNoBudget
	}
	b.Data = make([]byte, 0, size)
	if whole == 0 {
		err := r.fill(&b, src, whole, limit, client)
		return b, err
	}
	err := client.SetWaiting(true)
	if err == nil {
		err = r.fill(&b, src, whole, limit, client)
	}
	// A body whose connection was closed is not returned, even if it is whole: its request could not be answered.
	err = errors.CombineErrors(err, client.SetWaiting(false))
	return b, err
}

// fill reads a body whose buffer ends up with at most whole bytes.
func (r *Reader) fill(b *Body, src io.Reader, whole, limit int64, client Client) error {
	var start time.Time
	for {
		if len(b.Data) == cap(b.Data) && int64(cap(b.Data)) < whole {
			now := time.Now()
			if start.IsZero() {
				start = now
			}
			if err := r.grow(b, whole, client, start, now); err != nil {
				return err
			}
		}
		n, err := src.Read(b.Data[len(b.Data):cap(b.Data)])
		b.Data = b.Data[:len(b.Data)+n]
		switch {
		case int64(len(b.Data)) > limit:
			return ErrTooLarge
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// grow doubles the buffer, up to the size of the whole body, and gives the client time to fill it.
func (r *Reader) grow(b *Body, whole int64, client Client, start, now time.Time) error {
	size := min(int64(cap(b.Data))*2, whole)
	if !b.Grow(size) {
		return ErrNoBudget
	}
	if r.Pace.Timeout > 0 {
		if err := client.SetReadDeadline(r.Pace.Deadline(start, now, size-int64(len(b.Data)))); err != nil {
			return err
		}
	}
	data := make([]byte, len(b.Data), size)
	copy(data, b.Data)
	b.Data = data
	return nil
}
