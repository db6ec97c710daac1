package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/google/subcommands"

	"peridotpier.example/cmd/internal/exit"
)

// Version is the next release, which this source tree leads to.
const Version = "0.1.0"

// versionCommand prints the version, the commit and the Go release of the binary.
type versionCommand struct{ printJSON bool }

func (*versionCommand) Name() string     { return "version" }
func (*versionCommand) Synopsis() string { return "print the version" }
func (*versionCommand) Usage() string    { return "peridotpier version [--json]\n" }
func (c *versionCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.printJSON, "json", false, "print JSON")
}

func (c *versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	revision := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = s.Value
			}
		}
	}
	if c.printJSON {
		_ = json.NewEncoder(os.Stdout).Encode(map[string]string{"version": Version, "revision": revision, "go": runtime.Version(), "platform": runtime.GOOS + "/" + runtime.GOARCH})
		return exit.OK
	}
	fmt.Printf("peridotpier %s (revision %s, %s %s/%s)\n", Version, revision, runtime.Version(), runtime.GOOS, runtime.GOARCH)
	return exit.OK
}
