// Package settle versions the settings and replicates them to every daemon. A
// Changelog stores proposed changes, approvals and revisions in the table service
// and commits a change by compare-and-swap on the head row. A Follower runs in
// each daemon and fetches revisions from the table, the object store or its peers.
package settle
