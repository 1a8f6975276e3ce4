// Package head checks the heads of HTTP/1.1 requests and responses for what the parser of net/http
// accepts although the protocol does not allow it (RFC 9110, RFC 9112). Its [Transport] applies the
// checks to the client of net/http, which also takes some responses for complete that a reset has cut.
package head
