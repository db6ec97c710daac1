package local

import (
	"time"

	fake "peridotpier.example/standin/platform"
	"peridotpier.example/standin/site"
)

// StandIns are the simulated platform services and upstreams that the entry hosts of a
// site use.
type StandIns struct {
	Table     *fake.Table
	Objects   *fake.Objects
	HostList  *fake.Hosts
	Weights   *fake.Weights
	Upstreams *site.Upstreams
}

// startStandIns starts the stand-ins with the limits and lags that the site states.
func startStandIns(s *site.Site, opt site.StartOptions) (*StandIns, error) {
	seed := opt.Seed
	in := &StandIns{Table: fake.NewTableWith(fake.NewFaults(seed, nil)), Objects: fake.NewObjects(fake.NewFaults(seed, nil))}
	in.Table.Faults.Set(fake.Settings{WritesPerSecond: s.Store.WritesPerSecond, ReadsPerSecond: s.Store.ReadsPerSecond,
		Delay: time.Duration(s.Store.DelayMs) * time.Millisecond})
	w := s.Deployment.WeightStore
	in.Weights = fake.NewWeights(fake.NewFaults(seed, nil), w.LoadsPerSecond, w.Concurrent)
	opt.Weights = in.Weights
	var err error
	if in.Upstreams, err = s.Start(opt); err != nil {
		return nil, err
	}
	in.HostList = fake.NewHosts(fake.NewFaults(seed, nil), in.Upstreams.Hosts()...)
	in.HostList.SetLag(time.Duration(s.Store.HostListLagMs) * time.Millisecond)
	return in, nil
}
