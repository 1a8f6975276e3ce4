// Package route holds the configuration of the operators: hosts with their routes,
// services, and limits on callers. A [Config] is validated once and compiled into an
// immutable [Table], which matches a request by its host and the longest path prefix.
package route
