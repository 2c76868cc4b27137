package server

import (
	"net/http"

	"github.com/hashicorp/go-hclog"

	"chestnutmux.example/chestnutmux/pkg/model"
)

func (s *Server) handleConfig(w http.ResponseWriter, r *http.Request, _ Identity) {
	response, err := s.Backend.Config(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, response)
}

func (s *Server) handlePublish(w http.ResponseWriter, r *http.Request, id Identity) {
	var p model.PublishRequest
	release, ok := s.readJSON(w, r, maxConfigBytes, &p)
	if !ok {
		return
	}
	defer release()
	p.Author = id.Operator
	version, err := s.Backend.Publish(r.Context(), p)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, model.PublishResponse{Version: version})
}

func (s *Server) handleStatus(w http.ResponseWriter, r *http.Request, _ Identity) {
	status, err := s.Backend.Status(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, status)
}

// LogLevelBody is the body of the request that changes the log level, and of its response.
type LogLevelBody struct {
	Level string `json:"level"` // trace, debug, info, warn or error
}

func (s *Server) handleLogLevel(w http.ResponseWriter, r *http.Request, id Identity) {
	var body LogLevelBody
	release, ok := s.readJSON(w, r, maxJSONBytes, &body)
	if !ok {
		return
	}
	defer release()
	level := hclog.LevelFromString(body.Level)
	if level == hclog.NoLevel {
		writeError(w, &model.Error{
			Outcome: model.OutcomeNotRun, Kind: model.ErrorKindInvalid,
			Message: "the log level is unknown", Remedy: "use trace, debug, info, warn or error",
		})
		return
	}
	s.Logger.Warn("changing the log level", "level", body.Level, "operator", string(id.Operator))
	s.Logger.SetLevel(level)
	writeJSON(w, http.StatusOK, body)
}

func (s *Server) handleDrain(w http.ResponseWriter, r *http.Request, id Identity) {
	s.Logger.Info("drain requested", "operator", string(id.Operator), "remote", r.RemoteAddr)
	s.Backend.Drain()
	writeJSON(w, http.StatusAccepted, struct{}{})
}
