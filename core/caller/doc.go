// Package caller is the HTTP/1.1 server on the port that callers connect to. Each
// connection has a goroutine that reads requests and notices at once when the caller
// disconnects, a bounded number of pipelined requests that are handled concurrently,
// and a goroutine that writes the responses in the order of the requests. Method,
// request target and body reach the handler unchanged.
package caller
