package follow_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/deploy"
	"peridotpier.example/node/event"
	"peridotpier.example/node/follow"
)

// panickingSource returns a configuration, then panics on a value that cannot be read.
type panickingSource struct{ source }

func (s *panickingSource) WaitConfig(context.Context, uint64, time.Duration) (*deploy.Config, uint64, error) {
	var none []int
	_, _ = s.call(&s.configCalls)
	return nil, uint64(none[3]), nil
}

// Guards against a value in the store that terminates every host which reads it, again at
// each start.
func TestAValueThatCannotBeReadEndsNoHost(t *testing.T) {
	config := follow.NewActiveConfig(event.NewLog(nil))
	s := &panickingSource{source{version: 3}}
	f := follow.New(follow.Deps{Source: s, Config: config, Log: event.NewLog(nil), OnListed: func() {}})
	ctx, stop := context.WithTimeout(t.Context(), time.Second)
	defer stop()
	assert.ErrorIs(t, f.RunConfig(ctx), context.DeadlineExceeded)
	assert.Equal(t, config.Current().Config.Version, uint64(3))
	configs, _ := s.calls()
	assert.Assert(t, configs > 1 && configs < 20, "%d calls for the configuration", configs)
}

// Guards against the same fault, caused by a configuration that another host relayed.
func TestAConfigurationThatCannotBeCompiledEndsNoHost(t *testing.T) {
	config := follow.NewActiveConfig(event.NewLog(nil))
	assert.Assert(t, config.ApplyIfNewer(&deploy.Config{Version: 3}, "test"))
	assert.Assert(t, !config.ApplyIfNewer(nil, "test"))
	assert.Equal(t, config.Current().Config.Version, uint64(3))
}
