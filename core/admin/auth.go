package admin

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/go-kit/log/level"

	"wisteriarelay.example/core/config"
	"wisteriarelay.example/core/fault"
)

// token is an operator with the digest of the bearer token.
type token struct {
	operator string
	digest   [sha256.Size]byte
}

func parseTokens(operators []config.Operator) ([]token, error) {
	tokens := make([]token, 0, len(operators))
	for _, o := range operators {
		digest, err := hex.DecodeString(o.TokenSHA256)
		if err != nil || len(digest) != sha256.Size {
			return nil, fault.New(fault.ConfigInvalid, "operator %s: token-sha256 is not a SHA-256 in hex", o.Name)
		}
		tokens = append(tokens, token{operator: o.Name, digest: [sha256.Size]byte(digest)})
	}
	return tokens, nil
}

// authenticate returns the operator of the request. It compares with every
// token, so that the time taken does not depend on which one matches.
func (a *api) authenticate(r *http.Request) (string, error) {
	scheme, given, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || given == "" {
		return "", fault.New(fault.Unauthenticated, "header Authorization with a bearer token is needed")
	}
	digest := sha256.Sum256([]byte(given))
	operator := ""
	for _, t := range a.tokens {
		if subtle.ConstantTimeCompare(digest[:], t.digest[:]) == 1 {
			operator = t.operator
		}
	}
	if operator == "" {
		return "", fault.New(fault.Unauthenticated, "no operator has this token")
	}
	return operator, nil
}

// callKey is the context key of the call.
type callKey struct{}

// call is the operator and the id of a request.
type call struct {
	operator  string
	requestID string
}

func callOf(r *http.Request) call {
	c, _ := r.Context().Value(callKey{}).(call)
	return c
}

const headerRequestID = "X-Request-Id"

// guard admits operators only and writes the reply of the endpoint.
func (a *api) guard(serve endpoint) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := call{requestID: r.Header.Get(headerRequestID)}
		if c.requestID == "" {
			c.requestID = rand.Text()
		}
		w.Header().Set(headerRequestID, c.requestID)
		var err error
		if c.operator, err = a.authenticate(r); err != nil {
			w.Header().Set("WWW-Authenticate", "Bearer")
			newProblem(err, c.requestID).write(w)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
		reply, err := serve(r.WithContext(context.WithValue(r.Context(), callKey{}, c)))
		if err != nil {
			newProblem(err, c.requestID).write(w)
			return
		}
		writeReply(w, reply)
	})
}

// record logs a change of an operator with its result.
func (a *api) record(r *http.Request, action, change string, err error, more ...any) {
	c := callOf(r)
	fields := []any{"msg", "operator change", "operator", c.operator, "action", action, "change", change, "request-id", c.requestID}
	fields = append(fields, more...)
	if err != nil {
		_ = level.Warn(a.Logger).Log(append(fields, "result", fault.From(err).Kind, "detail", err)...)
		return
	}
	_ = level.Info(a.Logger).Log(append(fields, "result", "done")...)
}
