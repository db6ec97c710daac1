package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"peridotpier.example/cmd/internal/exit"
	"peridotpier.example/standin/local"
	"peridotpier.example/standin/site"
)

// standinCommand imitates the platform and the upstreams of a site for entry hosts that run
// as separate processes.
type standinCommand struct {
	site      string
	dir       string
	listen    string
	hosts     int
	seed      uint64
	printJSON bool
}

func (*standinCommand) Name() string { return "standin" }
func (*standinCommand) Synopsis() string {
	return "imitate a site's platform and upstreams for entry hosts in processes of their own"
}
func (*standinCommand) Usage() string {
	return `pierctl standin --dir DIR [--site NAME] [--hosts N] [--listen IP:port] [--seed N] [--json]
  Serves the platform's services and the upstreams on loopback, puts the site's
  configuration in force, and writes into DIR a settings file for each entry
  host, the keys, and layout.json, which says where all is. Then each
  "peridotpier serve --settings DIR/entry-N.json" runs one host. Runs until
  SIGTERM or SIGINT.
`
}

func (c *standinCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.site, "site", "kathmandu", "built-in `site` or site file")
	f.StringVar(&c.dir, "dir", "", "existing `folder` to write settings, keys and the layout to")
	f.StringVar(&c.listen, "listen", local.AnyPort, "`address` of the platform's services, IP:port")
	f.IntVar(&c.hosts, "hosts", 0, "entry hosts to write settings for; 0: as the site says")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the stand-ins")
	f.BoolVar(&c.printJSON, "json", false, "print the layout as JSON")
}

func (c *standinCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 || c.dir == "" || c.hosts < 0 {
		fmt.Fprint(os.Stderr, c.Usage())
		return exit.Usage
	}
	return exit.Print(os.Stderr, c.printJSON, c.run(ctx))
}

func (c *standinCommand) run(ctx context.Context) error {
	s, err := site.Load(c.site)
	if err != nil {
		return err
	}
	o, err := local.StartStandInServer(ctx, local.StandInServerOptions{Site: s, Seed: c.seed, Hosts: c.hosts, Listen: c.listen, Dir: c.dir})
	if err != nil {
		return err
	}
	defer o.Close()
	if c.printJSON {
		_ = json.NewEncoder(os.Stdout).Encode(o.Layout)
	} else {
		printLayout(&o.Layout)
	}
	<-ctx.Done()
	return nil
}

func printLayout(l *local.Layout) {
	fmt.Printf("%s: platform at %s, %d engines; start each entry host with\n", l.Site, l.StandIns, len(l.Engines))
	for _, e := range l.Entries {
		fmt.Printf("  peridotpier serve --settings %s\n", e.Settings)
	}
	if len(l.Entries) > 0 {
		fmt.Printf("and look with\n  pierctl status --node http://%s --key-file %s\n", l.Entries[0].Operator, l.OperatorKey)
	}
}
