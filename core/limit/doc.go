// Package limit holds the gate of a carried service: the slots of its targets in
// use by this daemon, the peers' work as last reported, and a short bounded queue
// that is fair among kinds and workspaces and refuses early what cannot make its
// deadline.
package limit
