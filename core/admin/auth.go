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

// credential is an operator's name with the SHA-256 digest of a bearer token. An
// operator may have several credentials.
type credential struct {
	operator    string
	tokenDigest [sha256.Size]byte
}

func parseCredentials(operators []config.Operator) ([]credential, error) {
	credentials := make([]credential, 0, len(operators))
	for _, o := range operators {
		digest, err := hex.DecodeString(o.TokenSHA256)
		if err != nil || len(digest) != sha256.Size {
			return nil, fault.New(fault.ConfigInvalid, "operator %s: token-sha256 is not a SHA-256 in hex", o.Name)
		}
		credentials = append(credentials, credential{operator: o.Name, tokenDigest: [sha256.Size]byte(digest)})
	}
	return credentials, nil
}

// authenticate returns the operator whose bearer token the request carries. It
// compares the token with every credential, so that the time taken does not
// reveal which one matches.
func (a *api) authenticate(r *http.Request) (string, error) {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return "", fault.New(fault.Unauthenticated, "header Authorization with a bearer token is needed")
	}
	digest := sha256.Sum256([]byte(token))
	operator := ""
	for _, c := range a.credentials {
		if subtle.ConstantTimeCompare(digest[:], c.tokenDigest[:]) == 1 {
			operator = c.operator
		}
	}
	if operator == "" {
		return "", fault.New(fault.Unauthenticated, "no operator has this token")
	}
	return operator, nil
}

// requestInfoKey is the context key of the requestInfo.
type requestInfoKey struct{}

// requestInfo holds the authenticated operator and the id of a request.
type requestInfo struct {
	operator  string
	requestID string
}

func requestInfoOf(r *http.Request) requestInfo {
	info, _ := r.Context().Value(requestInfoKey{}).(requestInfo)
	return info
}

const headerRequestID = "X-Request-Id"

// handler returns the HTTP handler of an endpoint. It authenticates the operator,
// limits the size of the request body, calls the endpoint, and writes its reply
// or a problem document.
func (a *api) handler(serve endpoint) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		info := requestInfo{requestID: r.Header.Get(headerRequestID)}
		if info.requestID == "" {
			info.requestID = rand.Text()
		}
		w.Header().Set(headerRequestID, info.requestID)
		var err error
		if info.operator, err = a.authenticate(r); err != nil {
			w.Header().Set("WWW-Authenticate", "Bearer")
			newProblem(err, info.requestID).write(w)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		reply, err := serve(r.WithContext(context.WithValue(r.Context(), requestInfoKey{}, info)))
		if err != nil {
			newProblem(err, info.requestID).write(w)
			return
		}
		writeReply(w, reply)
	})
}

// logAction logs an operator's action with its result, so that each change can
// be traced to the operator who made it.
func (a *api) logAction(r *http.Request, action, change string, err error, extra ...any) {
	info := requestInfoOf(r)
	fields := []any{"msg", "operator change", "operator", info.operator, "action", action, "change", change, "request-id", info.requestID}
	fields = append(fields, extra...)
	if err != nil {
		_ = level.Warn(a.Logger).Log(append(fields, "result", fault.From(err).Kind, "detail", err)...)
		return
	}
	_ = level.Info(a.Logger).Log(append(fields, "result", "done")...)
}
