// Command sapphirehatch is the rollout service. It runs entry hosts, operator commands,
// stand-ins for the systems that hosts work with, and a load generator.
package main

import (
	"os"

	"github.com/sapphirehatch/sapphirehatch/internal/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr))
}
