package node

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/route"
)

// configBurst simulates a store to which operators write 20 configurations, one
// every 60 ms.
type configBurst struct {
	start time.Time
	calls atomic.Int64
}

const (
	burstInterval = 60 * time.Millisecond
	burstVersions = 20
)

func (b *configBurst) newest() int64 {
	return min(1+int64(time.Since(b.start)/burstInterval), burstVersions)
}

func (b *configBurst) read(context.Context) (ConfigResult, error) {
	b.calls.Add(1)
	v := b.newest()
	return ConfigResult{Config: &route.Config{Version: route.Version(v)}, StoreVersion: v}, nil
}

func (b *configBurst) poll(ctx context.Context, after int64, wait time.Duration) (ConfigResult, error) {
	b.calls.Add(1)
	limit := time.Now().Add(wait)
	for b.newest() <= after {
		if time.Now().After(limit) {
			return ConfigResult{StoreVersion: after}, nil
		}
		sleep(ctx, time.Millisecond)
		if ctx.Err() != nil {
			return ConfigResult{}, ctx.Err()
		}
	}
	v := b.newest()
	return ConfigResult{Config: &route.Config{Version: route.Version(v)}, StoreVersion: v}, nil
}

// Guards against one store call per daemon for each of many configurations in quick
// succession, which made 2,270 calls in 1.3 s with 109 daemons. The last
// configuration must still be in force within two seconds.
func TestConfigBurstTakesFewStoreCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		burst := &configBurst{start: time.Now()}
		settings := &Settings{VM: "vm", DataCentre: "a", PeerAddress: "127.0.0.1:0", ShutdownSeconds: 1, RetryBudget: RetryBudget{WindowSeconds: 1}}
		n, err := New(settings, &Platform{ReadConfig: burst.read, LongPollConfig: burst.poll})
		g.Expect(err).NotTo(HaveOccurred())
		defer n.gossipConn.Close()
		ctx, cancel := context.WithCancel(t.Context())
		f := newConfigFollower(n)
		go f.loop(ctx)
		time.Sleep(burstVersions*burstInterval + time.Second)
		cancel()
		synctest.Wait()
		g.Expect(burst.calls.Load()).To(BeNumerically("<=", burstVersions/3))
		g.Expect(int64(n.relay.Table().Version)).To(Equal(int64(burstVersions)))
	})
}
