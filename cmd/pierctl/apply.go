package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/google/subcommands"

	"peridotpier.example/cmd/internal/exit"
	"peridotpier.example/cmd/internal/operator"
	"peridotpier.example/node/operatorapi"
)

// pollInterval is the pause between two checks of which hosts have a version in force.
const pollInterval = 500 * time.Millisecond

// applyFlags are the flags of the command "apply".
type applyFlags struct {
	parent uint64
	preset string
	wait   time.Duration
}

func applyCommand() subcommands.Command {
	var fl applyFlags
	return &operatorCommand{
		name: "apply", synopsis: "put a deployment configuration in force",
		usage: "pierctl apply FILE [--parent VERSION] [--preset NAME] [--wait DURATION]\n  Exit 3: another change came first; 4: it may have taken effect, or some host has not confirmed it in time.\n",
		setFlags: func(f *flag.FlagSet) {
			f.Uint64Var(&fl.parent, "parent", 0, "the `version` that FILE was made from; 0: there is none yet")
			f.StringVar(&fl.preset, "preset", "", "preset to be in force with it; default: the one in force")
			f.DurationVar(&fl.wait, "wait", 0, "wait that long at most until every host has it in force")
		},
		run: func(ctx context.Context, c *operator.Client, args []string) (any, func(), error) {
			if len(args) != 1 {
				return nil, nil, errArguments
			}
			return apply(ctx, c, args[0], fl)
		},
	}
}

// apply puts the configuration in file in force, and waits for all hosts if asked to.
func apply(ctx context.Context, c *operator.Client, file string, fl applyFlags) (any, func(), error) {
	doc, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, err
	}
	var a operatorapi.Applied
	query := url.Values{"parent": {strconv.FormatUint(fl.parent, 10)}, "preset": {fl.preset}}
	if err := c.Call(ctx, http.MethodPost, "/v1/configuration", query, doc, &a); err != nil {
		return nil, nil, err
	}
	if fl.wait > 0 {
		if err := awaitEverywhere(ctx, c, a.Head.Version, fl.wait); err != nil {
			return nil, nil, err
		}
	}
	return a, func() { fmt.Printf("version %d is in force, preset %s\n", a.Head.Version, a.Head.Preset) }, nil
}

// unconfirmedBy says how many hosts have not confirmed a version; below 0: the node did not
// say.
func unconfirmedBy(hosts int) string {
	if hosts < 0 {
		return "the node did not say which hosts have confirmed it"
	}
	return fmt.Sprintf("%d hosts have not confirmed it", hosts)
}

// awaitEverywhere waits until every live host has a version in force, for at most maxWait.
// When the time is over, the error has the exit code exit.Unconfirmed.
func awaitEverywhere(ctx context.Context, c *operator.Client, version uint64, maxWait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	waiting := -1 // number of hosts without the version; -1: not known yet
	for {
		var e operatorapi.Rollout
		if err := c.Call(ctx, http.MethodGet, "/v1/everywhere", nil, nil, &e); err == nil && e.Version >= version {
			if waiting = len(e.Waiting); waiting == 0 {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return &exit.Error{Code: exit.Unconfirmed, Err: fmt.Errorf("version %d was accepted, but %s within %s", version, unconfirmedBy(waiting), maxWait),
				Hint: "see pierctl status --everywhere"}
		case <-time.After(pollInterval):
		}
	}
}
