// Package order keeps non-idempotent orders to at most one run: signed tokens
// that bind a key to its home daemon, the ledger of the home, claims in the
// table service for callers' own keys, and the manager that decides for each
// copy of an order whether it may run. docs/orders.md explains the cases.
package order
