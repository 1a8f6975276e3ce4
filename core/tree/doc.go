// Package tree holds the settings tree: an immutable document of typed keys at
// the levels deployment, region, data centre, workspace, service and route.
// Changes are lists of ops that are validated as a whole. Each effective value
// has an origin, and a document compiles to a catalog of services that reuses
// the compiled services of its predecessor that did not change.
package tree
