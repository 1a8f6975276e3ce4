// Package roster keeps the members of the fleet and determines which daemons carry a
// service, that is, serve its requests. A plan combines services into groups, and the
// members of a data centre are ordered for each group; the first ones carry it. The
// monitored daemons of a data centre send heartbeats to all members there several
// times a second; the others send theirs less often, and to the monitored daemons
// only. Daemons that carry the same group also send heartbeats across data centres.
// All results depend only on which heartbeats arrived when, so that daemons that
// received the same heartbeats agree.
package roster
