package server

import (
	"net/http"
	"strings"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// identityHandler handles a request of an authenticated caller or operator.
type identityHandler func(w http.ResponseWriter, r *http.Request, id Identity)

// requireCaller passes only requests of authenticated callers to next.
func (s *Server) requireCaller(next identityHandler) http.HandlerFunc {
	return s.requireIdentity(next, func(id Identity) bool { return id.Workspace != "" })
}

// requireOperator passes only requests of authenticated operators to next.
func (s *Server) requireOperator(next identityHandler) http.HandlerFunc {
	return s.requireIdentity(next, func(id Identity) bool { return id.Operator != "" })
}

// requireIdentity authenticates a request by its bearer token and passes it to next if isAllowed returns true for the identity.
// Otherwise, it writes an error response.
func (s *Server) requireIdentity(next identityHandler, isAllowed func(Identity) bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok {
			writeError(w, unknownIfRetry(r, &model.Error{
				Outcome: model.OutcomeNotRun, Kind: model.ErrorKindUnauthorized,
				Message: "no bearer token", Remedy: "send the header Authorization: Bearer <token>",
			}))
			return
		}
		id, ok := s.Backend.Authenticate(token)
		if !ok {
			writeError(w, unknownIfRetry(r, &model.Error{
				Outcome: model.OutcomeNotRun, Kind: model.ErrorKindUnauthorized,
				Message: "the token is not in the configuration",
				Remedy:  "ask an operator to publish a caller or operator object with its SHA-256 digest",
			}))
			return
		}
		if !isAllowed(id) {
			writeError(w, unknownIfRetry(r, &model.Error{
				Outcome: model.OutcomeNotRun, Kind: model.ErrorKindForbidden,
				Message: "the token does not allow this request",
				Remedy:  "use a caller's token for jobs and services, an operator's for configuration and status",
			}))
			return
		}
		next(w, r, id)
	}
}
