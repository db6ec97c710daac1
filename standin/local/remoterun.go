package local

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"peridotpier.example/node/callerapi"
	"peridotpier.example/standin/load"
	"peridotpier.example/standin/site"
)

// RemoteRun is one run of a site's demand against hosts that run as separate processes.
type RemoteRun struct {
	Site     *site.Site
	Layout   *Layout
	Seed     uint64
	Length   time.Duration
	Progress func(load.Progress)
}

// Run waits until all hosts are ready, checks that a non-repeatable call that is sent
// twice runs once, sends the demand, and reports by the records of the callers and the
// stand-ins.
func (a RemoteRun) Run(ctx context.Context) (Report, error) {
	plan, err := a.Site.Plan(a.Seed, a.Length)
	if err != nil {
		return Report{}, err
	}
	b := NewReadyBalancer(a.Layout)
	if err := b.AwaitAllReady(ctx); err != nil {
		return Report{}, eris.Wrap(err, "wait for the hosts")
	}
	if err := a.checkReplay(ctx, b); err != nil {
		return Report{}, err
	}
	trafficCtx, stop := context.WithCancel(ctx)
	defer stop()
	go b.Run(trafficCtx)
	result := load.Run(ctx, load.Config{Plan: plan, Entries: b, Progress: a.Progress})
	rec, err := ReadRecords(ctx, a.Layout.StandIns)
	if err != nil {
		return Report{}, err
	}
	rep := Report{Site: a.Layout.Site, Policy: "peridot", Seed: a.Seed, Seconds: a.Length.Seconds(), EntryHosts: len(a.Layout.Entries),
		Accelerators: a.Site.Accelerators(), Counts: result.Count(rec.Effects), History: checkHistory(result, rec.Effects), AttainmentBound: a.Site.AttainmentBound(plan)}
	rep.AddRecords(rec)
	rep.setPerAccelerator()
	return rep, nil
}

// checkReplay sends a call that may not be repeated through two hosts under one
// idempotency key and checks that it ran once and got the same answer twice.
func (a RemoteRun) checkReplay(ctx context.Context, b load.EntryBalancer) error {
	if len(a.Site.Deployment.Services) == 0 {
		return nil
	}
	path := "/v1/services/" + a.Site.Deployment.Services[0].Name + "/dispatch-notes"
	var bodies [2]string
	last := ""
	for i := range bodies {
		host, err := b.Next(last)
		if err != nil {
			return err
		}
		last = host
		replayed, body, err := a.callOnce(ctx, "http://"+host+path)
		if err != nil {
			return err
		}
		if i == 1 && !replayed {
			return errors.New("a call that may not be repeated was run a second time")
		}
		bodies[i] = body
	}
	if bodies[0] != bodies[1] {
		return fmt.Errorf("one call was answered %q and %q", bodies[0], bodies[1])
	}
	return nil
}

func (a RemoteRun) callOnce(ctx context.Context, url string) (replayed bool, body string, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("one box of zips"))
	if err != nil {
		return false, "", err
	}
	req.Header.Set("Authorization", "Bearer "+a.Layout.TeamKey)
	req.Header.Set(callerapi.HeaderIdempotencyKey, "sent-twice")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false, "", eris.Wrap(err, "call that may not be repeated")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("call that may not be repeated: %s: %s", resp.Status, data)
	}
	return resp.Header.Get(callerapi.HeaderReplayed) == "true", string(data), err
}
