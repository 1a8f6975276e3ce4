// Package link carries HTTP/1.1 exchanges with one target over pooled
// connections. A connection is reused only after an exchange that ended
// exactly as framed; after an overdue, abandoned, truncated or unexpected
// response it is closed. A request is written at most once: nothing here
// retries, because the caller must know whether a byte may have been acted on.
package link
