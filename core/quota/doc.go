// Package quota limits the requests of each workspace over all daemons of the fleet.
// One daemon for each shard of the workspaces, the coordinator, grants tokens from a token
// bucket for each workspace. It does so at the part of the rate that other daemons, the
// holders, have leased to it, so that coordinators that cannot see each other never grant
// more than the whole together. The package uses no network; it sends messages through
// functions.
package quota
