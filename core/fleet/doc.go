// Package fleet holds the domain types that the other packages share: VMs,
// data centres, targets, services, routes and their policies.
package fleet
