// Package settle decides changes of the settings and brings them to every
// daemon. A Changelog keeps proposals, approvals and revisions in the table service
// and commits by compare-and-swap on the head row. A Follower runs in each
// daemon and takes revisions from the table, the object store or its peers.
package settle
