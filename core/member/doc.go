// Package member keeps the membership of the fleet as one daemon sees it. It
// merges the platform's lagging VM list with heartbeats of co-carriers, places
// the services, and sends a report to each co-carrier. Readers use an immutable
// View.
package member
