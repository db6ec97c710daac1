package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
	"go.uber.org/zap/zapcore"

	"peridotpier.example/cmd/internal/exit"
	"peridotpier.example/node/event"
	"peridotpier.example/node/host"
	"peridotpier.example/node/metrics"
	"peridotpier.example/node/upstream/conn"
	"peridotpier.example/platform"
)

// settingsEnv is the environment variable with the path of the settings file, the default
// of the flag --settings.
const settingsEnv = "PERIDOTPIER_NODE_FILE"

// hostCommand runs an entry host of a routed deployment.
type hostCommand struct{ settingsFile string }

func (*hostCommand) Name() string { return "host" }
func (*hostCommand) Synopsis() string {
	return "run an entry host of a routed deployment on the users' platform"
}
func (*hostCommand) Usage() string {
	return "peridotpier host [--settings FILE]\n  FILE: JSON, by default the file named by " + settingsEnv +
		".\n  SIGHUP reads it again. Exit 0: stopped gracefully; 1: could not start or run; 2: usage.\n"
}

func (c *hostCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settingsFile, "settings", os.Getenv(settingsEnv), "settings `file`")
}

func (c *hostCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.settingsFile == "" || f.NArg() > 0 {
		fmt.Fprint(os.Stderr, c.Usage())
		return exit.Usage
	}
	return exit.Print(os.Stderr, false, c.run(ctx))
}

// readSettings reads and checks the settings file.
func (c *hostCommand) readSettings() (*host.Settings, error) {
	data, err := os.ReadFile(c.settingsFile)
	if err != nil {
		return nil, err
	}
	set, faults := host.Parse(data)
	if len(faults) > 0 {
		return nil, &exit.Error{Code: exit.Failed, Err: fmt.Errorf("%s: %s", c.settingsFile, faults[0]),
			Hint: fmt.Sprintf("run peridotpier check --host-settings %s for all %d faults", c.settingsFile, len(faults))}
	}
	return set, nil
}

func (c *hostCommand) run(ctx context.Context) error {
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	set, err := c.readSettings()
	if err != nil {
		return err
	}
	level, err := zapcore.ParseLevel(set.LogLevel)
	if err != nil {
		return err
	}
	sink := event.NewSink(os.Stdout)
	log := event.NewJSON(sink, level)
	defer log.Sync()
	h, err := host.New(host.Deps{Settings: set, Platform: newPlatform(set), Log: log, Metrics: metrics.New(),
		Client: conn.New(conn.Config{Dialer: conn.NewDialer()}), DroppedLines: sink.Dropped, ReloadSettings: c.readSettings, ReloadSignal: reloadSignals(ctx, sighup)})
	if err != nil {
		return err
	}
	return h.Run(ctx)
}

// newPlatform returns the adapters that connect a host to the users' platform.
func newPlatform(set *host.Settings) host.Platform {
	client := conn.New(conn.Config{Dialer: conn.NewDialer()})
	table := &platform.Store{Client: client, Address: set.Store}
	return host.Platform{Source: table, Table: table, Eras: &table.Eras, Codec: platform.Headers{}, Orders: platform.Upstreams{Client: client}, Trial: platform.TrialRequest}
}

// reloadSignals returns a channel that receives a value after each signal until ctx ends.
// Signals that arrive while one value waits to be received are merged into it.
func reloadSignals(ctx context.Context, signals <-chan os.Signal) <-chan struct{} {
	reload := make(chan struct{}, 1)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
				select {
				case reload <- struct{}{}:
				default: // the value that already waits causes a reload that reads this change too
				}
			}
		}
	}()
	return reload
}
