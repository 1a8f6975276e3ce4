// Package retry decides what a failed attempt allows: another attempt within the
// retry budget of the service, or an end with the outcome that is certain. It
// also decides whether a second copy of a slow request is sent.
package retry
