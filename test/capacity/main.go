package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/fake/launcher"
	"chestnutmux.example/chestnutmux/internal/settings"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// arguments describe one point of a slope.
type arguments struct {
	Bin      string        `default:"bin" help:"Directory of the built programs."`
	Workers  int           `default:"50" help:"Workers of the measured failure domain, in racks of 8."`
	Tasks    int           `default:"24" help:"Running tasks per worker."`
	Gang     int           `default:"21" help:"Members of a gang."`
	Hosts    int           `default:"1" help:"Entry hosts of the measured failure domain."`
	Domains  int           `default:"0" help:"Further failure domains."`
	Others   int           `default:"0" help:"Workers of each further failure domain, listed and not polled."`
	Entries  int           `default:"0" help:"Entry hosts of each further failure domain."`
	Poll     time.Duration `default:"30s" help:"Time between polls of a worker."`
	Lease    time.Duration `default:"90s" help:"Task lease."`
	HostPoll time.Duration `default:"1s" help:"Time between reads of the host list."`
	Changes  int           `default:"0" help:"Changes of the host list a minute."`
	Jobs     int           `default:"0" help:"Short jobs submitted a minute."`
	Publish  int           `default:"0" help:"Configuration changes a minute."`
	Queue    int           `default:"0" help:"Waiting jobs added for the start of a host."`
	Snapshot time.Duration `default:"0s" help:"Time between snapshots; 0 means a quarter of a day."`
	Start    bool          `help:"Start one more entry host at the end and measure what it reads."`
	Settle   time.Duration `default:"35s" help:"Wait before the measurement; longer than a poll."`
	Time     time.Duration `default:"60s" help:"Length of the measurement."`
	Keep     string        `help:"Directory for logs, kept; the default is a temporary one."`
}

func main() {
	var args struct {
		Hosts arguments      `cmd:"" help:"Measure entry hosts as processes; one line of JSON per entry host."`
		State stateArguments `cmd:"" help:"Measure state and decisions in this process; one line of JSON per point."`
	}
	parsed := kong.Parse(&args, kong.Name("capacity"), kong.Description("Measures the control load of entry hosts."))
	var err error
	if parsed.Command() == "state" {
		err = runState(os.Stdout)
	} else {
		err = run(args.Hosts, os.Stdout)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

// run starts a cluster, fills it with tasks and measures it.
func run(args arguments, out io.Writer) (err error) {
	dir := args.Keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "chestnutmux-capacity-"); err != nil {
			return errors.Wrap(err, "capacity")
		}
		defer func() { _ = os.RemoveAll(dir) }()
	}
	if err := writeDeployment(args, dir); err != nil {
		return err
	}
	hosts := map[model.DomainID]int{measured: args.Hosts}
	for _, d := range others(args) {
		hosts[d] = args.Entries
	}
	c, err := launcher.Start(launcher.Options{Bin: args.Bin, Deploy: dir, Dir: dir, Hosts: hosts, Tune: func(s *settings.Settings) {
		s.Poll, s.TaskLease, s.HostListPoll = millis(args.Poll), millis(args.Lease), millis(args.HostPoll)
		if args.Snapshot > 0 { // a quarter of the retention, which must hold two claim windows
			s.Retention, s.ClaimWindow = 4*millis(args.Snapshot), millis(args.Snapshot)
		}
	}})
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, c.Stop()) }()
	r := &rig{arguments: args, cluster: c}
	if err := r.fill(); err != nil {
		return errors.Wrap(err, "fill")
	}
	time.Sleep(args.Settle)
	lines, err := r.measure()
	if err != nil {
		return errors.Wrap(err, "measure")
	}
	for _, l := range lines {
		if err := json.NewEncoder(out).Encode(l); err != nil {
			return err
		}
	}
	if !args.Start {
		return nil
	}
	s, err := r.startHost()
	if err != nil {
		return errors.Wrap(err, "start")
	}
	return json.NewEncoder(out).Encode(s)
}

func writeDeployment(args arguments, dir string) error {
	for name, v := range map[string]any{"fakes.hujson": deployment(args), "entry.hujson": entrySettings()} {
		data, err := json.Marshal(v)
		if err != nil {
			return errors.Wrap(err, "capacity")
		}
		if err := os.WriteFile(filepath.Join(dir, name), data, 0o600); err != nil {
			return errors.Wrap(err, "capacity")
		}
	}
	return nil
}

func millis(d time.Duration) model.Millis { return model.Millis(d.Milliseconds()) }
