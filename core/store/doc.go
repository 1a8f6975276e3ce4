// Package store is the client of the platform: the transactional table
// service, the object store and the list of VMs.
package store
