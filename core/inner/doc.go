// Package inner is the protocol between daemons: messages in CBOR with integer
// keys that check themselves when decoded, carried by drpc over mutual TLS, with
// a server and a client that keeps a small pool of connections for each peer.
package inner
