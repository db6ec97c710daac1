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
	"peridotpier.example/standin/compare"
)

// compareCommand compares two variants of a policy by the days in the journal that were run
// with both variants.
type compareCommand struct {
	journal, before, after, plot string
	printJSON                    bool
}

// Name implements subcommands.Command, as do the methods below.
func (*compareCommand) Name() string { return "compare" }
func (*compareCommand) Synopsis() string {
	return "compare two ways by the days that both have played"
}
func (*compareCommand) Usage() string {
	return `pierctl compare --before ID[,ID...] --after ID[,ID...] [--journal DIR] [--plot FILE] [--json]
  IDs are beginnings of the ids of journal entries, of commits, or of the digests of
  the sources that were played. Days with the same name, content and seed are paired; the table has the mean difference of each
  figure and whether the draws alone can make it, at 95%.
`
}

func (c *compareCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.journal, "journal", "journal", "folder of the entries")
	f.StringVar(&c.before, "before", "", "entries, commits or sources of the one way")
	f.StringVar(&c.after, "after", "", "those of the other")
	f.StringVar(&c.plot, "plot", "", "draw the difference in worth into this file (SVG)")
	f.BoolVar(&c.printJSON, "json", false, "print JSON")
}

func (c *compareCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.before == "" || c.after == "" || f.NArg() > 0 {
		fmt.Fprint(os.Stderr, c.Usage())
		return exit.Usage
	}
	if err := c.run(); err != nil {
		return exit.Print(os.Stderr, c.printJSON, err)
	}
	return exit.OK
}

func (c *compareCommand) run() error {
	journal := os.DirFS(c.journal)
	before, err := compare.Read(journal, strings.Split(c.before, ","))
	if err != nil {
		return err
	}
	after, err := compare.Read(journal, strings.Split(c.after, ","))
	if err != nil {
		return err
	}
	pairs, unpaired := compare.MatchPairs(before, after)
	rows, err := compare.Compare(pairs)
	if err != nil {
		return fmt.Errorf("%w: before on %s, after on %s", err, compare.SiteNames(before), compare.SiteNames(after))
	}
	c.print(rows, unpaired)
	if c.plot == "" {
		return nil
	}
	file, err := os.Create(c.plot)
	if err != nil {
		return err
	}
	return errors.Join(compare.Plot(file, rows, "worth"), file.Close())
}

func (c *compareCommand) print(rows []compare.Row, unpaired int) {
	if c.printJSON {
		_ = json.NewEncoder(os.Stdout).Encode(map[string]any{"rows": rows, "unpaired": unpaired})
		return
	}
	fmt.Println(compare.TableHead)
	for _, r := range rows {
		fmt.Println(r)
	}
	fmt.Printf("\n%d plays without their like\n", unpaired)
}
