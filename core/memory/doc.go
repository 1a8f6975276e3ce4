// Package memory bounds the memory that a daemon holds for its callers and its targets:
// connections, requests, their bodies and buffered responses. One [Budget] counts all of
// it. [Limits] decides what may be buffered and admitted, and uses no network.
package memory
