package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"peridotpier.example/cmd/internal/exit"
	"peridotpier.example/node/connlimit"
	"peridotpier.example/node/event"
	"peridotpier.example/node/keys"
	"peridotpier.example/node/server"
	"peridotpier.example/node/settings"
	"peridotpier.example/node/store/rest"
)

// serveCommand runs a node until a signal stops it.
type serveCommand struct{ settingsFile string }

func (*serveCommand) Name() string     { return "serve" }
func (*serveCommand) Synopsis() string { return "run the node until SIGTERM or SIGINT" }
func (*serveCommand) Usage() string {
	return "peridotpier serve --settings FILE\n  Exit 0: stopped gracefully; 1: could not start or run; 2: usage.\n"
}

func (c *serveCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settingsFile, "settings", "", "settings `file`")
}

func (c *serveCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.settingsFile == "" || f.NArg() > 0 {
		fmt.Fprint(os.Stderr, c.Usage())
		return exit.Usage
	}
	return exit.Print(os.Stderr, false, c.serve(ctx))
}

func (c *serveCommand) serve(ctx context.Context) error {
	data, err := os.ReadFile(c.settingsFile)
	if err != nil {
		return err
	}
	set, faults := settings.Parse(data)
	if len(faults) > 0 {
		return &exit.Error{Code: exit.Failed, Err: fmt.Errorf("%s: %s", c.settingsFile, faults[0]),
			Hint: fmt.Sprintf("run peridotpier check --settings %s for all %d faults", c.settingsFile, len(faults))}
	}
	log, err := newLog(set.LogLevel)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }() // syncing standard error fails on some systems
	ring, err := keys.Load(keys.Config{Settings: set, File: c.settingsFile}, keys.Deps{Log: event.NewLog(log)})
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(connlimit.HeapLimit(set.Bounds.MemoryMB))
	s, err := server.New(server.Config{Settings: set, Keys: ring, Platform: newPlatformClients(set.Platform), Log: log})
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return s.Run(ctx)
}

// newLog returns a logger that writes JSON lines to standard error.
func newLog(level string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = zap.NewAtomicLevelAt(l)
	cfg.Sampling = nil // sampling would drop numbered events that repeat
	cfg.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return cfg.Build()
}

// newPlatformClients returns clients for the services of the platform.
func newPlatformClients(p settings.Platform) server.Platform {
	client := func(base string) *rest.Client {
		return rest.New(rest.Config{BaseURL: base, Timeout: time.Duration(p.TimeoutMs) * time.Millisecond})
	}
	table := client(p.Table)
	return server.Platform{Table: table, Era: table.Eras.Newest, Objects: client(p.Objects).Objects(), Hosts: client(p.Hosts), Weights: client(p.Weights)}
}
