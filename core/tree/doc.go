// Package tree holds the settings tree: an immutable document of typed keys,
// which are set at the levels deployment, region, data centre, workspace,
// service and route. More specific levels inherit values from more general ones.
//
// A document ([Doc]) is changed by a list of operations ([Op]) that is validated
// as a whole and yields a new document. Each effective value has an [Origin],
// which names the path that sets it. A document compiles to a [Catalog] of
// services, which reuses the unchanged services of the previous document.
package tree
