package fleet

import (
	"crypto/rand"
	"encoding/hex"
	"strings"
)

// VMID identifies a VM that runs a daemon.
type VMID string

// DataCentre identifies a data centre.
type DataCentre string

// Region identifies a region, which is a group of data centres.
type Region string

// ServiceID identifies a service; it is unique in the deployment.
type ServiceID string

// TargetID identifies a target; it is unique within its service.
type TargetID string

// WorkspaceID identifies a workspace, which is the tenant that a request belongs to.
type WorkspaceID string

// Incarnation identifies one run of a daemon process, from its start to its end,
// as "<vm id>.<run id in 16 hex digits>".
type Incarnation string

// runIDSize is the size of a run id in bytes.
const runIDSize = 8

// NewIncarnation returns an incarnation of the VM with a random run id.
func NewIncarnation(vm VMID) Incarnation {
	var b [runIDSize]byte
	_, _ = rand.Read(b[:])
	return Incarnation(string(vm) + "." + hex.EncodeToString(b[:]))
}

// VM returns the VM on which the incarnation runs, or "" if i is malformed.
func (i Incarnation) VM() VMID {
	n := strings.LastIndexByte(string(i), '.')
	if n < 0 {
		return ""
	}
	return VMID(i[:n])
}
