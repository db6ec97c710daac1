// Command pierctl is the operators' tool, and runs the demo and the bench.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

// operating are the commands that call a host.
func operating() []subcommands.Command {
	return []subcommands.Command{presetCommand(), applyCommand(), statusCommand(), auditCommand(), requestCommand(), &quarantineCommand{}, &upstreamsCommand{}, &hostStatusCommand{}}
}

// trials are the commands that run stand-ins, or against them.
func trials() []subcommands.Command {
	return []subcommands.Command{&demoCommand{}, &benchCommand{}, &fleetCommand{}, &claimsCommand{}, &standinCommand{}, &driveCommand{}, &speedCommand{}, &compareCommand{}}
}

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	for _, c := range operating() {
		subcommands.Register(c, "operating")
	}
	for _, c := range trials() {
		subcommands.Register(c, "trials")
	}
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := subcommands.Execute(ctx)
	stop()
	os.Exit(int(code))
}
