package detect

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

// Row is the evidence of one target over one interval.
type Row struct {
	Target fleet.TargetID
	// Counts holds the number of requests by result. Cancelled requests stay
	// local; the wire form leaves them out.
	Counts [resultCount]uint32
	// Latency is the geometric mean of the latencies of the OK requests.
	Latency Code
	// ProbesOK and ProbesFailed count health probes.
	ProbesOK, ProbesFailed uint32
	// ProbeLatency is the geometric mean of the latencies of the good probes.
	ProbeLatency Code
}

// IsEmpty reports whether the row has nothing to tell a peer.
func (r Row) IsEmpty() bool {
	return r.flags() == 0
}

// Failures returns the number of requests that speak against the target.
func (r Row) Failures() uint32 {
	return r.Counts[Failed] + r.Counts[TimedOut] + r.Counts[Short] + r.Counts[BodyFailure] + r.Counts[Unreachable]
}

// Roster is the ordered list of a service's target ids, by which the wire form
// numbers targets.
type Roster struct {
	ids    []fleet.TargetID
	digest uint32
}

// NewRoster returns the roster of the service's targets.
func NewRoster(svc *fleet.Service) Roster {
	r := Roster{ids: make([]fleet.TargetID, 0, len(svc.Targets))}
	for i := range svc.Targets {
		r.ids = append(r.ids, svc.Targets[i].ID)
	}
	slices.Sort(r.ids)
	d := xxhash.New()
	for _, id := range r.ids {
		_, _ = d.WriteString(string(id))
		_, _ = d.Write([]byte{0})
	}
	r.digest = uint32(d.Sum64())
	return r
}

// Limits of the wire form. The header is the format byte, the roster's digest
// and the number of rows.
const (
	wireFormat    = 1
	digestBytes   = 4
	maxWireCount  = 1 << 20
	maxWireProbes = 15
	probeShift    = 4
)

// Bits of the flags byte of a row; a set bit says that the field follows.
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

// wireResults lists the results whose counts the wire form carries, by flag bit.
var wireResults = [...]Result{OK, Failed, TimedOut, Short, BodyFailure, Shed, Unreachable}

func (r Row) flags() byte {
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

// EncodeRows returns the wire form of the rows. It leaves out rows with nothing
// to say and rows of targets outside the roster. A row of a target with
// ordinary traffic takes 4 to 6 bytes.
func EncodeRows(ro Roster, rows []Row) []byte {
	byIndex := make(map[int]Row, len(rows))
	for _, r := range rows {
		if i, ok := slices.BinarySearch(ro.ids, r.Target); ok && !r.IsEmpty() {
			byIndex[i] = r
		}
	}
	b := []byte{wireFormat}
	b = binary.BigEndian.AppendUint32(b, ro.digest)
	b = binary.AppendUvarint(b, uint64(len(byIndex)))
	next := 0
	for i := range ro.ids {
		r, ok := byIndex[i]
		if !ok {
			continue
		}
		b = binary.AppendUvarint(b, uint64(i-next))
		b = appendRow(b, r)
		next = i + 1
	}
	return b
}

func appendRow(b []byte, r Row) []byte {
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

// DecodeRows returns the rows of a wire form that was written with the same
// roster. Bytes of another roster or format, out of bounds or left over are
// refused as a whole with fault.MessageInvalid.
func DecodeRows(ro Roster, data []byte) ([]Row, error) {
	d := rowDecoder{rest: data}
	if f := d.byte(); d.bad == "" && f != wireFormat {
		d.fail("unknown format")
	}
	if digest := d.uint32(); d.bad == "" && digest != ro.digest {
		d.fail("another target list")
	}
	n := d.uvarint(uint64(len(ro.ids)))
	rows := make([]Row, 0, n)
	next := uint64(0)
	for range n {
		i := next + d.uvarint(uint64(len(ro.ids)))
		if d.bad == "" && i >= uint64(len(ro.ids)) {
			d.fail("target out of bounds")
		}
		if d.bad != "" {
			break
		}
		rows = append(rows, d.row(ro.ids[i]))
		next = i + 1
	}
	if d.bad == "" && len(d.rest) > 0 {
		d.fail("bytes left over")
	}
	if d.bad != "" {
		return nil, fault.New(fault.MessageInvalid, "evidence rows: %s", d.bad)
	}
	return rows, nil
}

type rowDecoder struct {
	rest []byte
	bad  string
}

func (d *rowDecoder) fail(why string) {
	if d.bad == "" {
		d.bad = why
	}
	d.rest = nil
}

func (d *rowDecoder) byte() byte {
	if len(d.rest) == 0 {
		d.fail("too short")
		return 0
	}
	b := d.rest[0]
	d.rest = d.rest[1:]
	return b
}

func (d *rowDecoder) uint32() uint32 {
	if len(d.rest) < digestBytes {
		d.fail("too short")
		return 0
	}
	v := binary.BigEndian.Uint32(d.rest)
	d.rest = d.rest[digestBytes:]
	return v
}

func (d *rowDecoder) uvarint(most uint64) uint64 {
	v, n := binary.Uvarint(d.rest)
	if n <= 0 {
		d.fail("bad number")
		return 0
	}
	if v > most {
		d.fail("number out of bounds")
		return 0
	}
	d.rest = d.rest[n:]
	return v
}

func (d *rowDecoder) row(id fleet.TargetID) Row {
	r := Row{Target: id}
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
			r.Latency = Code(d.byte())
		}
	}
	if flags&flagProbes != 0 {
		p := uint32(d.byte())
		r.ProbesOK, r.ProbesFailed = p>>probeShift, p&maxWireProbes
		r.ProbeLatency = Code(d.byte())
		if p == 0 {
			d.fail("empty probes")
		}
	}
	if r.IsEmpty() {
		d.fail("empty row")
	}
	return r
}

// MergeRows returns one row a target with the sums of all rows, so that a
// daemon can drain its recorder more often than it reports.
func MergeRows(rows ...[]Row) []Row {
	var out []Row
	at := map[fleet.TargetID]int{}
	for _, set := range rows {
		for _, r := range set {
			i, ok := at[r.Target]
			if !ok {
				at[r.Target] = len(out)
				out = append(out, r)
				continue
			}
			out[i] = out[i].plus(r)
		}
	}
	return out
}

func (r Row) plus(o Row) Row {
	r.Latency = meanCode(r.Latency, r.Counts[OK], o.Latency, o.Counts[OK])
	r.ProbeLatency = meanCode(r.ProbeLatency, r.ProbesOK, o.ProbeLatency, o.ProbesOK)
	for i := range r.Counts {
		r.Counts[i] += o.Counts[i]
	}
	r.ProbesOK += o.ProbesOK
	r.ProbesFailed += o.ProbesFailed
	return r
}

func meanCode(a Code, n uint32, b Code, m uint32) Code {
	if n+m == 0 {
		return 0
	}
	sum := uint64(a)*uint64(n) + uint64(b)*uint64(m)
	all := uint64(n) + uint64(m)
	return Code((sum + all/2) / all)
}
