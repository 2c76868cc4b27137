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

// arguments are the command-line arguments.
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

// run starts the fakes of a deployment and stops them when ctx ends. Once all of them are listening, it writes their addresses
// to out as one line of JSON.
func run(ctx context.Context, args arguments, out io.Writer) error {
	deployment, err := platform.Load(args.Deployment)
	if err != nil {
		return err
	}
	fakes, err := platform.Start(deployment)
	if err != nil {
		return err
	}
	if err := json.NewEncoder(out).Encode(fakes.ReadyLine()); err != nil {
		return errors.CombineErrors(errors.Wrap(err, "write the ready line"), fakes.Close())
	}
	<-ctx.Done()
	return fakes.Close()
}
