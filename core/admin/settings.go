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
	defaultPageLimit = 50
	maxPageLimit     = 500
)

// settingsDoc is a settings document with its revision and source.
type settingsDoc struct {
	revision settle.Revision
	doc      *tree.Document
	source   string
}

// latestDoc returns the head. While the store is unavailable it returns the
// revision that this daemon has applied.
func (a *api) latestDoc(ctx context.Context) (settingsDoc, error) {
	revision, doc, err := a.Changelog.Head(ctx)
	if err == nil {
		return settingsDoc{revision, doc, SourceStore}, nil
	}
	if applied := a.Applied(); fault.Is(err, fault.StoreUnavailable) && applied != nil {
		return settingsDoc{applied.Revision, applied.Doc, SourceDaemon}, nil
	}
	return settingsDoc{}, err
}

// requestedDoc returns the revision named by query parameter "revision", or the
// latest one if the parameter is absent.
func (a *api) requestedDoc(r *http.Request) (settingsDoc, error) {
	n, err := countParam(r, "revision")
	if err != nil {
		return settingsDoc{}, err
	}
	if n == 0 {
		return a.latestDoc(r.Context())
	}
	doc, err := a.Changelog.Doc(r.Context(), settle.Revision(n))
	return settingsDoc{settle.Revision(n), doc, SourceStore}, err
}

func (a *api) head(r *http.Request) (any, error) {
	latest, err := a.latestDoc(r.Context())
	if err != nil {
		return nil, err
	}
	reply := HeadReply{Revision: latest.revision, Source: latest.source}
	if applied := a.Applied(); applied != nil {
		reply.Applied = applied.Revision
	}
	return reply, nil
}

func (a *api) value(r *http.Request) (any, error) {
	requested, err := a.requestedDoc(r)
	if err != nil {
		return nil, err
	}
	q := r.URL.Query()
	reply := ValueReply{
		Revision: requested.revision, Source: requested.source,
		Path: tree.Path(q.Get("path")), Key: q.Get("key"), Target: fleet.TargetID(q.Get("target")),
	}
	var value tree.Value
	if reply.Target == "" {
		value, reply.Origin, err = requested.doc.Effective(reply.Path, reply.Key)
	} else {
		value, reply.Origin, err = requested.doc.EffectiveForTarget(reply.Path, reply.Target, reply.Key)
	}
	reply.Value = value.Raw
	return reply, err
}

func (a *api) document(r *http.Request) (any, error) {
	requested, err := a.requestedDoc(r)
	return DocumentReply{Revision: requested.revision, Source: requested.source, Document: requested.doc}, err
}

// bootstrap writes the settings document in the request body as the first
// revision. The document is JSON, optionally with comments. Only an operator whom
// the document names as an owner may bootstrap it.
func (a *api) bootstrap(r *http.Request) (any, error) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, fault.Wrap(err, fault.RequestTooLarge, "settings document")
	}
	doc, err := tree.ParseFile(data)
	if err != nil {
		return nil, err
	}
	operator := requestInfoOf(r).operator
	if !slices.Contains(doc.Owners(), operator) {
		return nil, fault.New(fault.Forbidden, "operator %s is not among the owners of the document", operator)
	}
	revision, written, err := a.Changelog.Bootstrap(r.Context(), doc, operator)
	a.logAction(r, "bootstrap", "", err, "revision", revision, "written", written)
	if err != nil {
		return nil, &annotatedError{cause: err, followUp: "POST /v1/settings/bootstrap"}
	}
	return BootstrapReply{Revision: revision, Written: written}, nil
}

func (a *api) history(r *http.Request) (any, error) {
	before, err := countParam(r, "before")
	if err != nil {
		return nil, err
	}
	limit, err := pageLimit(r)
	if err != nil {
		return nil, err
	}
	list, err := a.Changelog.History(r.Context(), settle.Revision(before), limit)
	return HistoryReply{Revisions: list}, err
}

func pageLimit(r *http.Request) (int, error) {
	limit, err := countParam(r, "limit")
	if limit == 0 {
		limit = defaultPageLimit
	}
	return int(min(limit, maxPageLimit)), err
}

// diff compares the revisions of query parameters "from" and "to". An absent "to"
// stands for the head.
func (a *api) diff(r *http.Request) (any, error) {
	from, err := countParam(r, "from")
	if err != nil {
		return nil, err
	}
	to, err := countParam(r, "to")
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
	c, err := a.Changelog.Rollback(r.Context(), body.To, requestInfoOf(r).operator, body.Note)
	a.logAction(r, "rollback", c.ID, err, "to", body.To)
	if err != nil {
		return nil, &annotatedError{cause: err, change: c.ID, followUp: "GET /v1/changes"}
	}
	return c, nil
}
