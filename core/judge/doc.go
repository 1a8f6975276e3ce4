// Package judge estimates the share of its requests that a target fails. A target
// with a gray failure fails requests for a period of seconds, an episode, and recovers
// without any signal. An [Estimate] is therefore the belief state of a hidden
// semi-Markov model with three health states. The result of each request updates it by
// Bayes' rule. When an episode has lasted as long as usual, the estimate returns to the
// prior: the shares of time that targets of the service usually spend in each state.
// The package neither reads the clock nor performs I/O.
package judge
