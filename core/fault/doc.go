// Package fault defines the errors of wisteriarelay. Each Error has a Kind from a
// fixed list, and a table gives the default HTTP response for each kind. An Error
// also states the Outcome: whether a target ran the request.
package fault
