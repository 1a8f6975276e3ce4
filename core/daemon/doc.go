// Package daemon assembles a daemon from its parts: it follows the settings and
// the membership, keeps the services that the daemon carries, serves callers,
// peers and operators, and shuts down without cutting a request.
package daemon
