package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/fake/platform"
)

type arguments struct {
	Deployment string `arg:"" type:"existingfile" help:"Deployment file, JSON with comments."`
}

func main() {
	var args arguments
	kong.Parse(&args, kong.Name("chestnutmux-fakes"), kong.Description("Runs fakes of the platform on loopback addresses."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx, args, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "chestnutmux-fakes:", err)
		os.Exit(1)
	}
}

// run writes one line of JSON when all fakes listen, and stops them at the end of the context.
func run(ctx context.Context, args arguments, out io.Writer) error {
	d, err := platform.Load(args.Deployment)
	if err != nil {
		return err
	}
	p, err := platform.Start(d)
	if err != nil {
		return err
	}
	if err := json.NewEncoder(out).Encode(p.ReadyLine()); err != nil {
		return errors.CombineErrors(errors.Wrap(err, "write the ready line"), p.Close())
	}
	<-ctx.Done()
	return p.Close()
}
