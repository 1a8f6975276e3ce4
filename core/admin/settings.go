package admin

import (
	"context"
	"io"
	"net/http"
	"slices"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/settle"
	"wisteriarelay.example/core/tree"
)

const (
	defaultPage = 50
	maxPage     = 500
)

// version is a document with its revision and source.
type version struct {
	revision settle.Revision
	doc      *tree.Document
	source   string
}

// newest returns the head; while the store does not reply, the revision in
// force at this daemon.
func (a *api) newest(ctx context.Context) (version, error) {
	revision, doc, err := a.Changelog.Head(ctx)
	if err == nil {
		return version{revision, doc, SourceStore}, nil
	}
	if in := a.Applied(); fault.Is(err, fault.StoreUnavailable) && in != nil {
		return version{in.Revision, in.Doc, SourceDaemon}, nil
	}
	return version{}, err
}

// at returns the revision of parameter "revision", or the newest.
func (a *api) at(r *http.Request) (version, error) {
	n, err := number(r, "revision")
	if err != nil {
		return version{}, err
	}
	if n == 0 {
		return a.newest(r.Context())
	}
	doc, err := a.Changelog.Doc(r.Context(), settle.Revision(n))
	return version{settle.Revision(n), doc, SourceStore}, err
}

func (a *api) head(r *http.Request) (any, error) {
	v, err := a.newest(r.Context())
	if err != nil {
		return nil, err
	}
	reply := HeadReply{Revision: v.revision, Source: v.source}
	if in := a.Applied(); in != nil {
		reply.InForce = in.Revision
	}
	return reply, nil
}

func (a *api) value(r *http.Request) (any, error) {
	v, err := a.at(r)
	if err != nil {
		return nil, err
	}
	q := r.URL.Query()
	reply := ValueReply{
		Revision: v.revision, Source: v.source,
		Path: tree.Path(q.Get("path")), Key: q.Get("key"), Target: fleet.TargetID(q.Get("target")),
	}
	var value tree.Value
	if reply.Target == "" {
		value, reply.Origin, err = v.doc.Effective(reply.Path, reply.Key)
	} else {
		value, reply.Origin, err = v.doc.EffectiveForTarget(reply.Path, reply.Target, reply.Key)
	}
	reply.Value = value.Raw
	return reply, err
}

func (a *api) document(r *http.Request) (any, error) {
	v, err := a.at(r)
	return DocumentReply{Revision: v.revision, Source: v.source, Document: v.doc}, err
}

// bootstrap takes a settings file, in JSON with or without comments.
func (a *api) bootstrap(r *http.Request) (any, error) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, fault.Wrap(err, fault.RequestTooLarge, "settings document")
	}
	doc, err := tree.ParseFile(data)
	if err != nil {
		return nil, err
	}
	operator := callOf(r).operator
	if !slices.Contains(doc.Owners(), operator) {
		return nil, fault.New(fault.Forbidden, "operator %s is not among the owners of the document", operator)
	}
	revision, written, err := a.Changelog.Bootstrap(r.Context(), doc, operator)
	a.record(r, "bootstrap", "", err, "revision", revision, "written", written)
	if err != nil {
		return nil, &about{cause: err, askAgain: "POST /v1/settings/bootstrap"}
	}
	return BootstrapReply{Revision: revision, Written: written}, nil
}

func (a *api) history(r *http.Request) (any, error) {
	before, err := number(r, "before")
	if err != nil {
		return nil, err
	}
	limit, err := page(r)
	if err != nil {
		return nil, err
	}
	list, err := a.Changelog.History(r.Context(), settle.Revision(before), limit)
	return HistoryReply{Revisions: list}, err
}

func page(r *http.Request) (int, error) {
	limit, err := number(r, "limit")
	if limit == 0 {
		limit = defaultPage
	}
	return int(min(limit, maxPage)), err
}

// diff compares "from" with "to"; an absent "to" is the head.
func (a *api) diff(r *http.Request) (any, error) {
	from, err := number(r, "from")
	if err != nil {
		return nil, err
	}
	to, err := number(r, "to")
	if err != nil {
		return nil, err
	}
	if to == 0 {
		head, _, err := a.Changelog.Head(r.Context())
		if err != nil {
			return nil, err
		}
		to = uint64(head)
	}
	list, err := a.Changelog.Diff(r.Context(), settle.Revision(from), settle.Revision(to))
	return DiffReply{From: settle.Revision(from), To: settle.Revision(to), Differences: list}, err
}

func (a *api) rollback(r *http.Request) (any, error) {
	var body RollbackBody
	if err := readBody(r, &body); err != nil {
		return nil, err
	}
	c, err := a.Changelog.Rollback(r.Context(), body.To, callOf(r).operator, body.Note)
	a.record(r, "rollback", c.ID, err, "to", body.To)
	if err != nil {
		return nil, &about{cause: err, change: c.ID, askAgain: "GET /v1/changes"}
	}
	return c, nil
}
