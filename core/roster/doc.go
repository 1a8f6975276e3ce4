// Package roster keeps the members of the fleet and determines which daemons carry a
// service, that is, serve its requests. A plan combines services into groups, and the
// members of a data centre are ordered for each group; the first ones carry it.
// Daemons send heartbeats several times a second to the members of their own data
// centre that are monitored, and less often to carriers in other data centres. All
// results depend only on which heartbeats arrived when, so that daemons that received
// the same heartbeats agree.
package roster
