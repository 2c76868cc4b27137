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

// Guards against a ready line that comes before the listeners or lacks one, and against listeners left open at the end.
func TestReadyLineAndStop(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	r, w := io.Pipe()
	ended := make(chan error, 1)
	go func() {
		err := run(ctx, arguments{Deployment: "testdata/small.hujson"}, w)
		w.CloseWithError(io.EOF)
		ended <- err
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
	for _, e := range append(append(ready.Workers, ready.Runners...), ready.Relays...) {
		addrs = append(addrs, e.Addr)
	}
	for _, a := range addrs {
		c, err := net.Dial("tcp", strings.TrimPrefix(a, "http://"))
		is.NoErr(err)
		c.Close()
	}
	cancel()
	is.NoErr(<-ended)
	for _, a := range addrs {
		_, err := net.Dial("tcp", strings.TrimPrefix(a, "http://"))
		is.True(err != nil)
	}
}
