package main

import (
	"os"

	"chestnutmux.example/chestnutmux/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:]))
}
