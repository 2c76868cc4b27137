package meter

import (
	"expvar"
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
)

// Guards against traffic that is not counted or is counted in the wrong direction, and against several writes in a row that
// are counted as several messages.
func TestCountsBothDirections(t *testing.T) {
	is := is.New(t)
	bytes, messages := new(expvar.Map).Init(), new(expvar.Map).Init()
	m := New(bytes, messages)
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := m.Listener(PeerKindInbound, tcp)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		buf := make([]byte, 5)
		for range 2 {
			_, _ = io.ReadFull(c, buf)
			_, _ = c.Write(buf[:2])
		}
	}()
	c, err := m.Dialer(PeerKindWorker)(t.Context(), "tcp", l.Addr().String())
	is.NoErr(err)
	buf := make([]byte, 2)
	for range 2 {
		_, err = c.Write([]byte("abc"))
		is.NoErr(err)
		_, err = c.Write([]byte("de"))
		is.NoErr(err)
		_, err = io.ReadFull(c, buf)
		is.NoErr(err)
	}
	_, err = c.Read(buf)
	is.Equal(err, io.EOF)
	is.NoErr(c.Close())
	for key, want := range map[string]string{"worker/out": "10", "worker/in": "4", "peer/in": "10", "peer/out": "4"} {
		is.Equal(bytes.Get(key).String(), want)
		is.Equal(messages.Get(key).String(), "2")
	}
}

// Guards against CPU times and memory sizes in the wrong unit.
func TestReadProcessStats(t *testing.T) {
	is := is.New(t)
	p := ReadProcessStats()
	is.True(p.CPUMillis > 0 && p.CPUMillis < 3_600_000)
	is.True(p.MaxResident > 1<<20 && p.MaxResident < 8<<30)
	is.True(p.HeapAlloc > 0 && p.HeapAlloc < p.Sys)
}
