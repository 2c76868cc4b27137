package server

import (
	"net/http"
	"strings"

	"chestnutmux.example/chestnutmux/pkg/model"
)

type identified func(w http.ResponseWriter, r *http.Request, id Identity)

// caller admits callers of a workspace.
func (s *Server) caller(next identified) http.HandlerFunc {
	return s.authenticated(next, func(id Identity) bool { return id.Workspace != "" })
}

// operator admits operators.
func (s *Server) operator(next identified) http.HandlerFunc {
	return s.authenticated(next, func(id Identity) bool { return id.Operator != "" })
}

func (s *Server) authenticated(next identified, allowed func(Identity) bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok {
			writeError(w, asRepeat(r, &model.Error{
				Outcome: model.OutcomeNotRun, Kind: model.ErrorKindUnauthorized,
				Message: "no bearer token", Remedy: "send the header Authorization: Bearer <token>",
			}))
			return
		}
		id, ok := s.Backend.Authenticate(token)
		if !ok {
			writeError(w, asRepeat(r, &model.Error{
				Outcome: model.OutcomeNotRun, Kind: model.ErrorKindUnauthorized,
				Message: "the token is not in the configuration",
				Remedy:  "ask an operator to publish a caller or operator object with its SHA-256 digest",
			}))
			return
		}
		if !allowed(id) {
			writeError(w, asRepeat(r, &model.Error{
				Outcome: model.OutcomeNotRun, Kind: model.ErrorKindForbidden,
				Message: "the token does not allow this request",
				Remedy:  "use a caller's token for jobs and services, an operator's for configuration and status",
			}))
			return
		}
		next(w, r, id)
	}
}
