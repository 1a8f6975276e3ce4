package judge

import "time"

// EpisodeProbability returns the probability that the target is degraded or failing.
func (e *Estimate) EpisodeProbability(m Model, now time.Time) float64 {
	return 1 - e.predict(m, now)[healthy]
}
