// Package settle decides changes of the settings. A Book keeps proposals,
// approvals and revisions in the table service and commits by compare-and-swap
// on the head row.
package settle
