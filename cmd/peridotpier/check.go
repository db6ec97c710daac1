package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"peridotpier.example/cmd/internal/exit"
	"peridotpier.example/core/config"
	"peridotpier.example/node/host"
	"peridotpier.example/node/settings"
)

// checkCommand checks settings files and deployment configurations without running a host.
type checkCommand struct {
	settingsFile     string
	hostSettingsFile string
	configFile       string
	printJSON        bool
}

func (*checkCommand) Name() string { return "check" }
func (*checkCommand) Synopsis() string {
	return "check a settings file, a deployment configuration, or both"
}
func (*checkCommand) Usage() string {
	return "peridotpier check [--settings FILE] [--host-settings FILE] [--configuration FILE] [--json]\n  Prints every fault with its JSON path. Exit 0: no fault; 1: faults; 2: usage.\n"
}

func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settingsFile, "settings", "", "settings `file` of a host")
	f.StringVar(&c.hostSettingsFile, "host-settings", "", "settings `file` of a host on the users' platform")
	f.StringVar(&c.configFile, "configuration", "", "deployment configuration `file`")
	f.BoolVar(&c.printJSON, "json", false, "print faults as JSON")
}

func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 || c.settingsFile == "" && c.hostSettingsFile == "" && c.configFile == "" {
		fmt.Fprint(os.Stderr, c.Usage())
		return exit.Usage
	}
	faults := []config.Fault{}
	for _, input := range []struct {
		name  string
		parse func([]byte) []config.Fault
	}{
		{c.settingsFile, func(b []byte) []config.Fault { _, f := settings.Parse(b); return f }},
		{c.hostSettingsFile, func(b []byte) []config.Fault { _, f := host.Parse(b); return f }},
		{c.configFile, func(b []byte) []config.Fault { _, f := config.Parse(b); return f }},
	} {
		if input.name == "" {
			continue
		}
		data, err := os.ReadFile(input.name)
		if err != nil {
			return exit.Print(os.Stderr, c.printJSON, err)
		}
		for _, f := range input.parse(data) {
			faults = append(faults, config.Fault{Path: input.name + ": " + f.Path, Problem: f.Problem})
		}
	}
	return c.print(faults)
}

func (c *checkCommand) print(faults []config.Fault) subcommands.ExitStatus {
	if c.printJSON {
		_ = json.NewEncoder(os.Stdout).Encode(map[string]any{"faults": faults})
	} else {
		for _, f := range faults {
			fmt.Println(f)
		}
	}
	if len(faults) > 0 {
		return exit.Failed
	}
	return exit.OK
}
