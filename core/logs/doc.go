// Package logs writes structured logs without ever blocking the caller: lines pass
// through a bounded queue and a rate limit, and dropped lines are counted.
package logs
