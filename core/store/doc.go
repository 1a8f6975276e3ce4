// Package store is the HTTP client of the platform, which provides a transactional
// table service, an object store and a list of VMs.
package store
