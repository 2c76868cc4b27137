package main

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/fake/platform"
)

// Guards against a ready line that is written before all listeners are open or that lacks an address, and against listeners
// that are still open after run has returned.
func TestReadyLineAndStop(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	r, w := io.Pipe()
	runResult := make(chan error, 1)
	go func() {
		err := run(ctx, arguments{Deployment: "testdata/small.hujson"}, w)
		w.CloseWithError(io.EOF)
		runResult <- err
	}()
	line, err := bufio.NewReader(r).ReadBytes('\n')
	is.NoErr(err)
	var ready platform.ReadyLine
	is.NoErr(json.Unmarshal(line, &ready))
	is.True(ready.Ready)
	is.Equal(len(ready.Workers), 3)
	is.Equal(len(ready.Runners), 2)
	is.Equal(len(ready.Relays), 2)
	addrs := []string{ready.AdminURL, ready.LogURL, ready.HostListURL}
	for _, endpoint := range append(append(ready.Workers, ready.Runners...), ready.Relays...) {
		addrs = append(addrs, endpoint.Addr)
	}
	for _, addr := range addrs {
		conn, err := net.Dial("tcp", strings.TrimPrefix(addr, "http://"))
		is.NoErr(err)
		conn.Close()
	}
	cancel()
	is.NoErr(<-runResult)
	for _, addr := range addrs {
		_, err := net.Dial("tcp", strings.TrimPrefix(addr, "http://"))
		is.True(err != nil)
	}
}
