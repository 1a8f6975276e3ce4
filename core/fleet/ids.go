package fleet

import (
	"crypto/rand"
	"encoding/hex"
	"strings"
)

// VMID names an entry VM.
type VMID string

// DataCentre names a data centre.
type DataCentre string

// Region names a region, a group of data centres.
type Region string

// ServiceID names a service; it is unique in the deployment.
type ServiceID string

// TargetID names a target; it is unique within its service.
type TargetID string

// WorkspaceID names a workspace, the tenant on whose behalf a request is made.
type WorkspaceID string

// Incarnation names one run of a daemon process as "<vm id>.<16 hex digits>".
type Incarnation string

const incarnationBytes = 8

// NewIncarnation returns a new unique incarnation for the VM.
func NewIncarnation(vm VMID) Incarnation {
	var b [incarnationBytes]byte
	_, _ = rand.Read(b[:])
	return Incarnation(string(vm) + "." + hex.EncodeToString(b[:]))
}

// VM returns the VM on which the incarnation runs, or "" if it is malformed.
func (i Incarnation) VM() VMID {
	n := strings.LastIndexByte(string(i), '.')
	if n < 0 {
		return ""
	}
	return VMID(i[:n])
}
