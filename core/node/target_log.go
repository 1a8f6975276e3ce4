package node

import (
	"time"

	"wisteriarelay.example/core/stats"
	"wisteriarelay.example/core/watch"
)

// logTargetChange logs one change of the delta, which came from the source.
func (n *Node) logTargetChange(source string, d watch.Delta, c watch.Change) {
	fields := []any{
		"msg", "target changed", "target", c.ID, "gone", c.Entry == nil,
		"draining", c.Entry != nil && c.Entry.Draining, "list-version", d.Version, "age", d.Age, "source", source,
	}
	if c.Entry != nil {
		fields = append(fields, "started", c.Entry.StartMillis, "seq", c.Entry.Seq)
	}
	_ = n.logger.Log(fields...)
}

// recordRejectedDelta counts a delta that was not applied to the list, whose version
// was known, and logs it if this daemon misses changes.
func (n *Node) recordRejectedDelta(source string, known int64, d watch.Delta, reason watch.Rejection) {
	n.metrics.Counter(stats.Label("list_deltas_rejected", "reason", string(reason))).Inc(1)
	if reason != watch.Gap {
		return
	}
	_ = n.logger.Log("msg", "change of the target list missed", "list-version", known, "since", d.Since, "version", d.Version, "source", source)
}

// oldListAge is the age from which a target list is reported as old. Requests must stop
// reaching a leaving target 2 s after the store accepted its update.
const oldListAge = 2 * time.Second

// listAgeMonitor logs when the target list becomes old and when it is current again.
type listAgeMonitor struct {
	*Node
	old bool
}

func (m *listAgeMonitor) check(now time.Time) {
	version, asOf := m.targetList.Position()
	age := now.Sub(asOf)
	old := !asOf.IsZero() && age > oldListAge
	switch {
	case old && !m.old:
		_ = m.logger.Log("msg", "target list is old", "list-version", version, "age", age, "rank", m.roster.ReaderRank(now))
	case !old && m.old:
		_ = m.logger.Log("msg", "target list is current again", "list-version", version, "age", age)
	}
	m.old = old
}
