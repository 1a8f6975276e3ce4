// Package order makes sure that a non-idempotent request, called an order, runs at
// most once. The first request and its repeats are the copies of the order. They
// have the same Idempotency-Key and may reach different daemons.
//
// A key usually starts with a signed token. The incarnation that issued the token
// decides which copy runs: it records the state of the key in its Ledger, and other
// daemons query it before they run a copy. A daemon that leaves hands its ledger
// over to others. A key that the caller chose itself, or whose token has ModeClaim,
// is recorded as a claim in the table service instead. The Manager of each daemon
// combines these parts and decides for each copy whether it may run. docs/orders.md
// explains the cases.
package order
