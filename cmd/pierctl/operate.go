package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/google/subcommands"

	"peridotpier.example/cmd/internal/exit"
	"peridotpier.example/cmd/internal/operator"
)

// operatorCommand is a subcommand that calls the operators' API of a node.
type operatorCommand struct {
	operator.Flags
	name     string
	synopsis string
	usage    string
	setFlags func(*flag.FlagSet)
	// run makes the calls. It returns the result, which is printed as JSON, and a function
	// that prints it as text; errArguments if the arguments are none of the command's.
	run func(ctx context.Context, c *operator.Client, args []string) (result any, text func(), err error)
}

// Name implements subcommands.Command, as do the methods below.
func (o *operatorCommand) Name() string     { return o.name }
func (o *operatorCommand) Synopsis() string { return o.synopsis }
func (o *operatorCommand) Usage() string    { return o.usage }

func (o *operatorCommand) SetFlags(f *flag.FlagSet) {
	o.Set(f)
	if o.setFlags != nil {
		o.setFlags(f)
	}
}

func (o *operatorCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args, err := parseInterleaved(f)
	if err != nil {
		return exit.Usage
	}
	c, err := o.NewClient()
	if err != nil {
		return exit.Print(os.Stderr, o.JSON, err)
	}
	result, text, err := o.run(ctx, c, args)
	if errors.Is(err, errArguments) {
		err = o.usageError()
	}
	if err != nil {
		return exit.Print(os.Stderr, o.JSON, err)
	}
	if o.JSON {
		_ = json.NewEncoder(os.Stdout).Encode(result)
	} else {
		text()
	}
	return exit.OK
}

// errArguments means that the arguments of a command are none that it takes.
var errArguments = errors.New("wrong arguments")

// usageError returns the error of a wrong command line, with the command lines that there
// are.
func (o *operatorCommand) usageError() error {
	line, _, _ := strings.Cut(o.usage, "\n")
	return usageError("usage: %s", line)
}

// parseInterleaved parses flags that follow the first argument too, so that
// "preset use peak --json" works. It returns the arguments without the flags.
func parseInterleaved(f *flag.FlagSet) ([]string, error) {
	var args []string
	for f.NArg() > 0 {
		args = append(args, f.Arg(0))
		if err := f.Parse(f.Args()[1:]); err != nil {
			return nil, err
		}
	}
	return args, nil
}

func usageError(format string, args ...any) error {
	return &exit.Error{Code: exit.Usage, Err: fmt.Errorf(format, args...)}
}
