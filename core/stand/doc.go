// Package stand provides in-memory fakes of the platform ([Platform]) and of the
// targets ([Target]) for tests and the demo. Both are HTTP handlers, and faults
// can be injected into both while they run. [RawHandler] sends broken responses.
package stand
