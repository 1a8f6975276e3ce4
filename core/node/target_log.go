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
// was known, and logs it if this daemon misses changes or the store itself sent it.
func (n *Node) recordRejectedDelta(source string, known watch.Position, d watch.Delta, reason watch.Rejection) {
	n.metrics.Counter(stats.Label("list_deltas_rejected", "reason", string(reason))).Inc(1)
	msg := "change of the target list missed"
	switch {
	case reason != watch.Outdated:
	case source == fromStore:
		msg = "target list of the store not used"
	default:
		return
	}
	_ = n.logger.Log("msg", msg, "reason", reason, "list-era", known.Era, "list-version", known.Version, "era", d.Era, "since", d.Since, "version", d.Version, "source", source)
}

// logEraStart logs the state of the target list after the first delta of an era of the store.
func (n *Node) logEraStart(source string, d watch.Delta, s *watch.EraStart) {
	_ = n.logger.Log(
		"msg", "target list of a new era in use", "era", d.Era, "previous", s.Previous, "list-version", d.Version, "age", d.Age,
		"targets", len(d.Changes), "missing", s.Missing, "outdated", s.Outdated, "source", source,
	)
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
	position, asOf := m.targetList.Position()
	age := now.Sub(asOf)
	old := !asOf.IsZero() && age > oldListAge
	switch {
	case old && !m.old:
		_ = m.logger.Log("msg", "target list is old", "list-version", position.Version, "age", age, "rank", m.roster.ReaderRank(now))
	case !old && m.old:
		_ = m.logger.Log("msg", "target list is current again", "list-version", position.Version, "age", age)
	}
	m.old = old
}
