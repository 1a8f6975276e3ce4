// Package link is an HTTP/1.1 client with a connection pool for one target. A
// connection is reused only if the response ended exactly where its framing says;
// after a timed out, cancelled, truncated or unexpected response it is closed. A
// request is written at most once. The package never retries, because its user must
// know whether the target may have acted on a part of the request.
package link
