// Package retry decides whether a failed attempt is retried within the retry budget of
// its service and whether a slow request is hedged with a second copy. For a request
// that is not retried it states whether the request ran.
package retry
