// Package admin implements the administration API of a daemon. Operators, who
// authenticate with a bearer token, use it over HTTP with JSON bodies to read and
// change settings, to manage targets, to follow a roll-out and to read state
// dumps. The package is stateless: all state belongs to the parts in Deps.
package admin
