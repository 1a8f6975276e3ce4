// Package limit limits the concurrent requests to the targets of a service. A [Limiter]
// counts the slots that this daemon uses at each target, takes the load that peers
// report into account, and holds requests that find no free slot in a short bounded
// queue. The queue is fair among request kinds and workspaces and refuses a request
// at once if it cannot meet its deadline.
package limit
