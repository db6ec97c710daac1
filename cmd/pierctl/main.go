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

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	for _, c := range []subcommands.Command{presetCommand(), applyCommand(), statusCommand(), auditCommand(), requestCommand()} {
		subcommands.Register(c, "operating")
	}
	subcommands.Register(&demoCommand{}, "trials")
	subcommands.Register(&benchCommand{}, "trials")
	subcommands.Register(&fleetCommand{}, "trials")
	subcommands.Register(&standinCommand{}, "trials")
	subcommands.Register(&driveCommand{}, "trials")
	subcommands.Register(&speedCommand{}, "trials")
	subcommands.Register(&claimsCommand{}, "trials")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := subcommands.Execute(ctx)
	stop()
	os.Exit(int(code))
}
