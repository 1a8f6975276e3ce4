// Package member tracks the membership of the fleet as one daemon sees it. Each
// service is placed on a few daemons, its carriers. Daemons that carry the same
// service, co-carriers, send each other reports, which serve as heartbeats: a peer
// is heard if a report of it arrived within the last 3 report intervals.
//
// A [Table] merges the platform's VM list, which may lag behind, with the reports
// of co-carriers, computes the placement of the services, and sends the reports of
// this daemon. It publishes the result as an immutable [View].
package member
