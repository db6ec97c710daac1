package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"peridotpier.example/cmd/internal/exit"
	"peridotpier.example/standin/local"
	"peridotpier.example/standin/pki"
	"peridotpier.example/standin/site"
)

// demoCommand runs a whole site on loopback, with imitated upstreams.
type demoCommand struct {
	site      string
	duration  time.Duration
	seed      uint64
	printJSON bool
	tls       bool
	ca        string
}

func (*demoCommand) Name() string { return "demo" }
func (*demoCommand) Synopsis() string {
	return "run a whole site on loopback, with its upstreams imitated"
}
func (*demoCommand) Usage() string {
	return `pierctl demo [--site NAME] [--for DURATION] [--seed N] [--json] [--tls [--ca FILE]]
  Without --for: starts the site, prints curl lines, sends traffic and shows
  progress until interrupted. With --for: sends mixed traffic for that long,
  lets a host leave and switches the preset, and prints a report.
  With --tls the hosts use certificates made in memory for callers, operators
  and one another; --ca writes the authority that signed them to a file,
  and an operator's certificate and key beside it (FILE.operator.pem, .key); else
  the curl lines take any certificate.
  Exit 0: sound; 1: something was lost, doubled, cut, crossed, overcommitted
  or unreachable, or the run failed; 2: usage.
`
}

func (c *demoCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.site, "site", "kathmandu", "built-in `site` or site file")
	f.DurationVar(&c.duration, "for", 0, "`length` of the traffic; 0: until interrupted")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the traffic")
	f.BoolVar(&c.tls, "tls", false, "use TLS, with certificates made in memory")
	f.StringVar(&c.ca, "ca", "", "with --tls: `file` to write the authority's certificate to")
	f.BoolVar(&c.printJSON, "json", false, "print one JSON object at the end")
}

// interactiveDuration is the length of the planned traffic without --for: the run ends
// earlier if it is interrupted.
const interactiveDuration = time.Hour

func (c *demoCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 || c.duration < 0 || c.ca != "" && !c.tls {
		fmt.Fprint(os.Stderr, c.Usage())
		return exit.Usage
	}
	return runAndReport(ctx, c.run, c.printJSON)
}

func (c *demoCommand) run(ctx context.Context) (local.Report, error) {
	s, err := site.Load(c.site)
	if err != nil {
		return local.Report{}, err
	}
	r, err := local.Start(ctx, local.Options{Site: s, Seed: c.seed, TLS: c.tls})
	if err != nil {
		return local.Report{}, err
	}
	defer r.Close()
	if c.ca != "" {
		if err := writeCertificates(c.ca, r); err != nil {
			return local.Report{}, err
		}
	}
	if !c.printJSON {
		printIntroduction(os.Stdout, s, r, c.curlLine(), c.pierctlLine())
	}
	d := local.DriveOptions{Policy: "peridot", Length: c.duration, Progress: showProgress}
	if c.duration == 0 {
		d.Length = interactiveDuration
	} else {
		d.Script = local.RoutineScript(c.duration)
	}
	rep, err := r.Drive(ctx, d)
	if c.duration == 0 && errors.Is(err, context.Canceled) {
		err = nil // without --for, an interruption is the normal end
	}
	return rep, err
}

// writeCertificates writes the authority's certificate to the file ca, and an operator's
// certificate and key to files beside it.
func writeCertificates(ca string, r *local.RunningSite) error {
	certificate, key, err := r.Authority.Issue("operator", pki.WithIPAddress("127.0.0.1"))
	if err != nil {
		return err
	}
	for name, data := range map[string][]byte{ca: r.Authority.PEM(), ca + operatorCertSuffix: certificate, ca + operatorKeySuffix: key} {
		if err := os.WriteFile(name, data, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// Suffixes that make the names of the operator's files from that of the authority's.
const (
	operatorCertSuffix = ".operator.pem"
	operatorKeySuffix  = ".operator.key"
)

// pierctlLine returns the format of the printed pierctl lines, for a subcommand and a node's
// URL. It is "" if they could not work, because TLS is used and no certificate is in a file.
func (c *demoCommand) pierctlLine() string {
	command := local.OperatorKey + " go run ./cmd/pierctl"
	switch {
	case !c.tls:
		return "PIERCTL_KEY=" + command + " %s --node %s"
	case c.ca != "":
		return "PIERCTL_KEY=" + command + " %s --node %s --authorities " + c.ca + " --certificate " + c.ca + operatorCertSuffix + " --certificate-key " + c.ca + operatorKeySuffix
	default:
		return ""
	}
}

// curlLine returns the beginning of the printed curl lines.
func (c *demoCommand) curlLine() string {
	switch {
	case !c.tls:
		return "curl"
	case c.ca != "":
		return "curl --cacert " + c.ca
	default:
		return "curl -k"
	}
}
