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

// settingsVariable names the settings file when no flag does.
const settingsVariable = "PERIDOTPIER_NODE_FILE"

type hostCommand struct{ settings string }

func (*hostCommand) Name() string { return "host" }
func (*hostCommand) Synopsis() string {
	return "run an entry host of a routed deployment on the users' platform"
}
func (*hostCommand) Usage() string {
	return "peridotpier host [--settings FILE]\n  FILE: JSON, by default the file named by " + settingsVariable +
		".\n  SIGHUP reads it again. Exit 0: stopped gracefully; 1: could not start or run; 2: usage.\n"
}

func (c *hostCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", os.Getenv(settingsVariable), "settings `file`")
}

func (c *hostCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.settings == "" || f.NArg() > 0 {
		fmt.Fprint(os.Stderr, c.Usage())
		return exit.Usage
	}
	return exit.Print(os.Stderr, false, c.run(ctx))
}

// read reads and checks the settings file.
func (c *hostCommand) read() (*host.Settings, error) {
	data, err := os.ReadFile(c.settings)
	if err != nil {
		return nil, err
	}
	set, faults := host.Parse(data)
	if len(faults) > 0 {
		return nil, &exit.Error{Code: exit.Failed, Err: fmt.Errorf("%s: %s", c.settings, faults[0]),
			Hint: fmt.Sprintf("run peridotpier check --host-settings %s for all %d faults", c.settings, len(faults))}
	}
	return set, nil
}

func (c *hostCommand) run(ctx context.Context) error {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	set, err := c.read()
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
	h, err := host.New(host.Deps{Settings: set, Platform: onPlatform(set), Log: log, Metrics: metrics.New(),
		Client: conn.New(conn.Config{Dialer: conn.NewDialer()}), DroppedLines: sink.Dropped, ReloadSettings: c.read, ReloadSignal: hangups(ctx, hangup)})
	if err != nil {
		return err
	}
	return h.Run(ctx)
}

// onPlatform connects the product to the users' platform.
func onPlatform(set *host.Settings) host.Platform {
	client := conn.New(conn.Config{Dialer: conn.NewDialer()})
	table := &platform.Store{Client: client, Address: set.Store}
	return host.Platform{Source: table, Table: table, Codec: platform.Headers{}, Orders: platform.Upstreams{Client: client}}
}

// hangups turns signals into plain notices.
func hangups(ctx context.Context, signals <-chan os.Signal) <-chan struct{} {
	out := make(chan struct{}, 1)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
				select {
				case out <- struct{}{}:
				default: // one is waiting, and reads what is there then
				}
			}
		}
	}()
	return out
}
