package detect

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

// IntervalStats holds the statistics of one target over one interval, as one observer
// counted them.
type IntervalStats struct {
	Target fleet.TargetID
	// Counts holds the number of requests by result. Cancelled requests are not
	// sent to peers.
	Counts [resultCount]uint32
	// Latency is the geometric mean of the latencies of the OK requests.
	Latency LatencyCode
	// ProbesOK and ProbesFailed count health probes.
	ProbesOK, ProbesFailed uint32
	// ProbeLatency is the geometric mean of the latencies of the successful
	// probes.
	ProbeLatency LatencyCode
}

// IsEmpty reports whether there is nothing to report to peers.
func (r IntervalStats) IsEmpty() bool {
	return r.flags() == 0
}

// Failures returns the number of requests that count against the target.
func (r IntervalStats) Failures() uint32 {
	return r.Counts[Failed] + r.Counts[TimedOut] + r.Counts[Short] + r.Counts[BodyFailure] + r.Counts[Unreachable]
}

// TargetIndex is the sorted list of a service's target ids. The wire form
// refers to a target by its position in it.
type TargetIndex struct {
	ids    []fleet.TargetID
	digest uint32
}

// NewTargetIndex returns the index of the service's targets.
func NewTargetIndex(svc *fleet.Service) TargetIndex {
	x := TargetIndex{ids: make([]fleet.TargetID, 0, len(svc.Targets))}
	for i := range svc.Targets {
		x.ids = append(x.ids, svc.Targets[i].ID)
	}
	slices.Sort(x.ids)
	d := xxhash.New()
	for _, id := range x.ids {
		_, _ = d.WriteString(string(id))
		_, _ = d.Write([]byte{0})
	}
	x.digest = uint32(d.Sum64())
	return x
}

// Constants of the wire form. Its header is the format byte, the digest of the
// target index and the number of targets that follow.
const (
	wireFormat    = 1
	digestBytes   = 4
	maxWireCount  = 1 << 20
	maxWireProbes = 15
	probeShift    = 4
)

// Bits of the flags byte of a target; a set bit means that the field follows.
const (
	flagOK = 1 << iota
	flagFailed
	flagTimedOut
	flagShort
	flagBodyFailure
	flagShed
	flagUnreachable
	flagProbes
)

// wireResults lists the results that are sent to peers, in the order of their
// flag bits.
var wireResults = [...]Result{OK, Failed, TimedOut, Short, BodyFailure, Shed, Unreachable}

func (r IntervalStats) flags() byte {
	var f byte
	for bit, res := range wireResults {
		if r.Counts[res] > 0 {
			f |= 1 << bit
		}
	}
	if r.ProbesOK+r.ProbesFailed > 0 {
		f |= flagProbes
	}
	return f
}

// EncodeStats returns the wire form of the statistics. It leaves out targets
// with nothing to report and targets that are not in the index. A target with
// ordinary traffic takes 4 to 6 bytes.
func EncodeStats(index TargetIndex, stats []IntervalStats) []byte {
	byIndex := make(map[int]IntervalStats, len(stats))
	for _, r := range stats {
		if i, ok := slices.BinarySearch(index.ids, r.Target); ok && !r.IsEmpty() {
			byIndex[i] = r
		}
	}
	b := []byte{wireFormat}
	b = binary.BigEndian.AppendUint32(b, index.digest)
	b = binary.AppendUvarint(b, uint64(len(byIndex)))
	next := 0
	for i := range index.ids {
		r, ok := byIndex[i]
		if !ok {
			continue
		}
		b = binary.AppendUvarint(b, uint64(i-next))
		b = appendStats(b, r)
		next = i + 1
	}
	return b
}

func appendStats(b []byte, r IntervalStats) []byte {
	b = append(b, r.flags())
	for _, res := range wireResults {
		if n := r.Counts[res]; n > 0 {
			b = binary.AppendUvarint(b, uint64(min(n, maxWireCount)))
		}
		if res == OK && r.Counts[OK] > 0 {
			b = append(b, byte(r.Latency))
		}
	}
	if r.ProbesOK+r.ProbesFailed > 0 {
		b = append(b, byte(min(r.ProbesOK, maxWireProbes)<<probeShift|min(r.ProbesFailed, maxWireProbes)))
		b = append(b, byte(r.ProbeLatency))
	}
	return b
}

// DecodeStats decodes a wire form that was encoded with the same target index.
// Data with another index or format, with a value out of bounds or with bytes
// left over is rejected as a whole with fault.MessageInvalid.
func DecodeStats(index TargetIndex, data []byte) ([]IntervalStats, error) {
	d := statsDecoder{rest: data}
	if f := d.byte(); d.problem == "" && f != wireFormat {
		d.fail("unknown format")
	}
	if digest := d.uint32(); d.problem == "" && digest != index.digest {
		d.fail("another target list")
	}
	n := d.uvarint(uint64(len(index.ids)))
	stats := make([]IntervalStats, 0, n)
	next := uint64(0)
	for range n {
		i := next + d.uvarint(uint64(len(index.ids)))
		if d.problem == "" && i >= uint64(len(index.ids)) {
			d.fail("target out of bounds")
		}
		if d.problem != "" {
			break
		}
		stats = append(stats, d.stats(index.ids[i]))
		next = i + 1
	}
	if d.problem == "" && len(d.rest) > 0 {
		d.fail("bytes left over")
	}
	if d.problem != "" {
		return nil, fault.New(fault.MessageInvalid, "evidence rows: %s", d.problem)
	}
	return stats, nil
}

type statsDecoder struct {
	rest    []byte
	problem string
}

func (d *statsDecoder) fail(why string) {
	if d.problem == "" {
		d.problem = why
	}
	d.rest = nil
}

func (d *statsDecoder) byte() byte {
	if len(d.rest) == 0 {
		d.fail("too short")
		return 0
	}
	b := d.rest[0]
	d.rest = d.rest[1:]
	return b
}

func (d *statsDecoder) uint32() uint32 {
	if len(d.rest) < digestBytes {
		d.fail("too short")
		return 0
	}
	v := binary.BigEndian.Uint32(d.rest)
	d.rest = d.rest[digestBytes:]
	return v
}

func (d *statsDecoder) uvarint(limit uint64) uint64 {
	v, n := binary.Uvarint(d.rest)
	if n <= 0 {
		d.fail("bad number")
		return 0
	}
	if v > limit {
		d.fail("number out of bounds")
		return 0
	}
	d.rest = d.rest[n:]
	return v
}

func (d *statsDecoder) stats(id fleet.TargetID) IntervalStats {
	r := IntervalStats{Target: id}
	flags := d.byte()
	for bit, res := range wireResults {
		if flags&(1<<bit) == 0 {
			continue
		}
		r.Counts[res] = uint32(d.uvarint(maxWireCount))
		if r.Counts[res] == 0 {
			d.fail("empty count")
		}
		if res == OK {
			r.Latency = LatencyCode(d.byte())
		}
	}
	if flags&flagProbes != 0 {
		p := uint32(d.byte())
		r.ProbesOK, r.ProbesFailed = p>>probeShift, p&maxWireProbes
		r.ProbeLatency = LatencyCode(d.byte())
		if p == 0 {
			d.fail("empty probes")
		}
	}
	if r.IsEmpty() {
		d.fail("empty row")
	}
	return r
}

// MergeStats returns the sums by target, so that a daemon can collect from its
// recorder more often than it reports.
func MergeStats(sets ...[]IntervalStats) []IntervalStats {
	var out []IntervalStats
	at := map[fleet.TargetID]int{}
	for _, set := range sets {
		for _, r := range set {
			i, ok := at[r.Target]
			if !ok {
				at[r.Target] = len(out)
				out = append(out, r)
				continue
			}
			out[i] = out[i].mergedWith(r)
		}
	}
	return out
}

func (r IntervalStats) mergedWith(o IntervalStats) IntervalStats {
	r.Latency = weightedMeanCode(r.Latency, r.Counts[OK], o.Latency, o.Counts[OK])
	r.ProbeLatency = weightedMeanCode(r.ProbeLatency, r.ProbesOK, o.ProbeLatency, o.ProbesOK)
	for i := range r.Counts {
		r.Counts[i] += o.Counts[i]
	}
	r.ProbesOK += o.ProbesOK
	r.ProbesFailed += o.ProbesFailed
	return r
}

func weightedMeanCode(a LatencyCode, n uint32, b LatencyCode, m uint32) LatencyCode {
	if n+m == 0 {
		return 0
	}
	sum := uint64(a)*uint64(n) + uint64(b)*uint64(m)
	all := uint64(n) + uint64(m)
	return LatencyCode((sum + all/2) / all)
}
