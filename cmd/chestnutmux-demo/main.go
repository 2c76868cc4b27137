package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"chestnutmux.example/chestnutmux/internal/fake/demo"
)

func main() {
	var args struct {
		Bin    string `help:"Directory of the built programs." default:"bin" type:"existingdir"`
		Deploy string `help:"Directory of the deployment." default:"deploy/kartli" type:"existingdir"`
		Keep   bool   `help:"Keep the settings and logs of the processes."`
	}
	kong.Parse(&args, kong.Name("chestnutmux-demo"), kong.Description("Shows the whole path with real processes on loopback."))
	out := json.NewEncoder(os.Stdout)
	if err := demo.Run(demo.Options{BinDir: args.Bin, DeployDir: args.Deploy, KeepFiles: args.Keep, Output: out}); err != nil {
		fmt.Fprintln(os.Stderr, "chestnutmux-demo:", err)
		os.Exit(1)
	}
}
