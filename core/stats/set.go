package stats

import (
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"

	"github.com/rcrowley/go-metrics"
)

const (
	// reservoirSize is the number of samples that a histogram keeps.
	reservoirSize = 1028
	// reservoirAlpha is the decay factor that biases a histogram towards about the last
	// five minutes.
	reservoirAlpha = 0.015
)

var quantiles = []float64{0.5, 0.95, 0.99}

// Registry is the set of metrics of one process.
type Registry struct {
	registry metrics.Registry
}

// New returns an empty set.
func New() *Registry {
	return &Registry{registry: metrics.NewRegistry()}
}

// Counter returns the counter with the given name, creating it on first use.
func (s *Registry) Counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, s.registry)
}

// Histogram returns the histogram with the given name, creating it on first use.
func (s *Registry) Histogram(name string) metrics.Histogram {
	return s.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
	}).(metrics.Histogram)
}

// Gauge registers a function that returns the value of a gauge; each export calls
// it.
func (s *Registry) Gauge(name string, read func() int64) {
	s.registry.GetOrRegister(name, metrics.NewFunctionalGauge(read))
}

// labelledNameCap is the usual length of a metric name with a label, used as the
// initial capacity; longer names take one more allocation.
const labelledNameCap = 96

// Label appends a label to a metric name, in the syntax of the Prometheus text
// format.
func Label(name, key, value string) string {
	b := make([]byte, 0, labelledNameCap)
	b = append(append(append(append(b, name...), '{'), key...), '=')
	b = append(strconv.AppendQuote(b, value), '}')
	return string(b)
}

// ServeHTTP writes all metrics in the Prometheus text format.
func (s *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	_, _ = w.Write([]byte(s.text()))
}

func (s *Registry) text() string {
	var lines []string
	s.registry.Each(func(name string, metric any) {
		lines = append(lines, formatMetric(name, metric)...)
	})
	sort.Strings(lines)
	return strings.Join(lines, "\n") + "\n"
}

func formatMetric(name string, metric any) []string {
	base, labels := splitName(name)
	switch m := metric.(type) {
	case metrics.Counter:
		return []string{formatSample(base+"_total", labels, m.Count())}
	case metrics.Gauge:
		return []string{formatSample(base, labels, m.Value())}
	case metrics.Histogram:
		return formatHistogram(base, labels, m.Snapshot())
	default:
		return nil
	}
}

func formatHistogram(base, labels string, h metrics.Histogram) []string {
	lines := []string{
		formatSample(base+"_count", labels, h.Count()),
		formatSample(base+"_sum", labels, h.Sum()),
	}
	values := h.Percentiles(quantiles)
	for i, q := range quantiles {
		label := fmt.Sprintf("quantile=%q", fmt.Sprint(q))
		if labels != "" {
			label = labels + "," + label
		}
		lines = append(lines, formatSample(base, label, int64(values[i])))
	}
	return lines
}

func splitName(name string) (base, labels string) {
	base, rest, found := strings.Cut(name, "{")
	if !found {
		return name, ""
	}
	return base, strings.TrimSuffix(rest, "}")
}

func formatSample(base, labels string, value int64) string {
	if labels == "" {
		return fmt.Sprintf("%s %d", base, value)
	}
	return fmt.Sprintf("%s{%s} %d", base, labels, value)
}
