package quota_test

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/quota"
)

// trafficTime is the time over which messages are counted.
const trafficTime = 2 * time.Second

// Guards against a number of messages that grows with the daemons that have no requests, or
// faster than the requests.
func TestMessagesPerRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		limits := map[string]quota.Limit{}
		for i := range 76 {
			rate := 300 * math.Pow(2.2/300, float64(i)/75)
			limits[fmt.Sprint(i)] = quota.Limit{Rate: rate, Burst: rate}
		}
		f := newFleet(t, 60, 4, limits)
		defer f.close()
		before := f.network.count()
		time.Sleep(trafficTime)
		idle := f.network.count().since(before)
		var loads []*load
		for name, limit := range limits {
			loads = append(loads, &load{fleet: f, workspace: name, limit: limit, rate: constant(usual * limit.Rate), pick: f.anyBusy()})
		}
		before = f.network.count()
		runAll(trafficTime, loads...)
		busy := f.network.count().since(before)
		sent := 0
		for _, l := range loads {
			sent += l.outcomes(0, time.Hour).sent
		}
		t.Logf("idle %+v, busy %+v in %s, %d requests", idle, busy, trafficTime, sent)
		g.Expect(idle.messages).To(BeNumerically("<", 900*trafficTime.Seconds()))
		g.Expect(busy.messages - idle.messages).To(BeNumerically("<", 2*sent))
	})
}
