// Package inner implements the RPC protocol between the daemons of the fleet, the
// inner protocol. Messages are CBOR maps with integer keys and are validated
// whenever they are encoded or decoded. They travel over drpc and mutual TLS. A
// [Server] passes requests to [Handlers]; a [Client] keeps a small connection
// pool for each peer.
package inner
