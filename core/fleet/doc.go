// Package fleet defines the types that the other packages share: VMs, data centres,
// daemon incarnations, services with their targets, routes and policies.
package fleet
