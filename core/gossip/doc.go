// Package gossip exchanges short reports between daemons in UDP datagrams: heartbeats,
// results of requests to targets, health estimates of targets, changes of the target
// list and the operators' configuration. A report may be lost, duplicated or late. Each
// event has a sequence number, by which a receiver processes it at most once; events
// that count against a target are sent twice.
package gossip
