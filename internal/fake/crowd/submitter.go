package crowd

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// payloadAlphabet has 64 characters that JSON does not escape, so that a random payload can't be compressed below three quarters.
const payloadAlphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/"

// RandomPayload returns a payload of n bytes that hardly compresses. A seed gives the same payload each time.
func RandomPayload(n int, seed uint64) string {
	rng := rand.New(rand.NewPCG(seed, 0))
	b := make([]byte, n)
	for i := range b {
		b[i] = payloadAlphabet[rng.IntN(len(payloadAlphabet))]
	}
	return string(b)
}

// Responses counts the responses to a crowd by their status; 0 counts requests without a response.
type Responses map[int]int

// retryPause is the time after which a client whose request was not accepted sends it again, whatever the response says.
const retryPause = 100 * time.Millisecond

// wholeWays are the ways in which the clients of SendWhole send their bodies, in turn.
var wholeWays = []Way{Whole, Pieces, LargeChunks}

// SendWhole lets clients with a connection each send a complete request, whole, in pieces or in chunks, and read the response. A client whose
// request was not accepted sends it again, until the given time has passed. Client i sends request(i).
func SendWhole(r Request, request func(i int) (path string, body []byte), clients int, within time.Duration) Responses {
	var (
		mu        sync.Mutex
		responses = Responses{}
		wg        sync.WaitGroup
	)
	deadline := time.Now().Add(within)
	for i := range clients {
		wg.Go(func() {
			own := r
			for time.Now().Before(deadline) {
				var body []byte
				own.Path, body = request(i)
				status := own.sendWhole(body, wholeWays[i%len(wholeWays)], deadline)
				mu.Lock()
				responses[status]++
				mu.Unlock()
				if status == http.StatusOK || status == http.StatusAccepted {
					return
				}
				time.Sleep(retryPause)
			}
		})
	}
	wg.Wait()
	return responses
}

// sendWhole sends a complete request and returns the status of the response, or 0 if there is none. A host may refuse the request
// before it has read all of it, so the response counts even if the request could not be sent whole.
func (r Request) sendWhole(body []byte, way Way, deadline time.Time) int {
	conn, err := net.DialTimeout("tcp", r.Addr, time.Until(deadline))
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(deadline); err != nil {
		return 0
	}
	r.writeWhole(conn, body, way) // the response tells whether enough of it has arrived
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// writeWhole writes a complete request, until the host reads no more of it.
func (r Request) writeWhole(w io.Writer, body []byte, way Way) {
	framing, partBytes := fmt.Sprintf("Content-Length: %d", len(body)), len(body)
	switch way {
	case Pieces:
		partBytes = pieceBytes
	case LargeChunks:
		framing, partBytes = "Transfer-Encoding: chunked", largeChunkBytes
	}
	parts := [][]byte{[]byte(r.requestLine() + framing + "\r\n\r\n")}
	for part := range slices.Chunk(body, partBytes) {
		if way == LargeChunks {
			part = slices.Concat(fmt.Appendf(nil, "%x\r\n", len(part)), part, []byte("\r\n"))
		}
		parts = append(parts, part)
	}
	if way == LargeChunks {
		parts = append(parts, []byte("0\r\n\r\n"))
	}
	for _, part := range parts {
		if _, err := w.Write(part); err != nil {
			return
		}
	}
}
