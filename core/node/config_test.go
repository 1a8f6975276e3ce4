package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/route"
)

// storm is operators who write a configuration every 60 ms for a while.
type storm struct {
	begin time.Time
	calls int
}

const (
	stormInterval = 60 * time.Millisecond
	stormVersions = 20
)

func (s *storm) newest() int64 {
	return min(1+int64(time.Since(s.begin)/stormInterval), stormVersions)
}

func (s *storm) read(context.Context) (ConfigRead, error) {
	s.calls++
	v := s.newest()
	return ConfigRead{Config: &route.Config{Version: route.Version(v)}, Position: v}, nil
}

func (s *storm) await(ctx context.Context, after int64, wait time.Duration) (ConfigRead, error) {
	s.calls++
	limit := time.Now().Add(wait)
	for s.newest() <= after {
		if time.Now().After(limit) {
			return ConfigRead{Position: after}, nil
		}
		pause(ctx, time.Millisecond)
		if ctx.Err() != nil {
			return ConfigRead{}, ctx.Err()
		}
	}
	v := s.newest()
	return ConfigRead{Config: &route.Config{Version: route.Version(v)}, Position: v}, nil
}

// Load pattern: configurations come in quick succession. Guards against a call to
// the store for each of them from each daemon, which made 2,270 calls in 1.3 s at
// 109 daemons; the last one still has to be in force within two seconds.
func TestConfigStormTakesFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &storm{begin: time.Now()}
		settings := &Settings{VM: "vm", DataCentre: "a", InnerAddress: "127.0.0.1:0", ShutdownSeconds: 1, RetryBudget: RetryBudget{SpanSeconds: 1}}
		n, err := New(settings, &Platform{ReadConfig: s.read, AwaitConfig: s.await})
		g.Expect(err).NotTo(HaveOccurred())
		defer n.conn.Close()
		ctx, cancel := context.WithCancel(t.Context())
		f := &configFollower{n}
		go f.loop(ctx)
		time.Sleep(stormVersions*stormInterval + time.Second)
		cancel()
		synctest.Wait()
		g.Expect(s.calls).To(BeNumerically("<=", stormVersions/3))
		g.Expect(int64(n.relay.Table().Version)).To(Equal(int64(stormVersions)))
	})
}
