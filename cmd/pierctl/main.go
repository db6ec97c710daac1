// Command pierctl is the operators' tool. It also runs demonstrations and benchmarks with
// imitated upstreams.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

// operatorCommands returns the commands that call a host.
func operatorCommands() []subcommands.Command {
	return []subcommands.Command{presetCommand(), applyCommand(), statusCommand(), auditCommand(), requestCommand(), &quarantineCommand{}, &upstreamsCommand{}, &hostStatusCommand{}}
}

// trialCommands returns the commands that run stand-ins, send load to hosts beside them, or
// compare results.
func trialCommands() []subcommands.Command {
	return []subcommands.Command{&demoCommand{}, &benchCommand{}, &fleetCommand{}, &claimsCommand{}, &standinCommand{}, &driveCommand{}, &speedCommand{}, &compareCommand{}}
}

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	for _, c := range operatorCommands() {
		subcommands.Register(c, "operating")
	}
	for _, c := range trialCommands() {
		subcommands.Register(c, "trials")
	}
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := subcommands.Execute(ctx)
	stop()
	os.Exit(int(code))
}
