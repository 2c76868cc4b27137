package server

import (
	"net/http"

	"github.com/hashicorp/go-hclog"

	"chestnutmux.example/chestnutmux/pkg/model"
)

func (s *Server) config(w http.ResponseWriter, r *http.Request, _ Identity) {
	reply, err := s.Backend.Config(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, reply)
}

func (s *Server) publish(w http.ResponseWriter, r *http.Request, id Identity) {
	var p model.PublishRequest
	if !readJSON(w, r, maxConfig, &p) {
		return
	}
	p.Author = id.Operator
	version, err := s.Backend.Publish(r.Context(), p)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, model.PublishResponse{Version: version})
}

func (s *Server) status(w http.ResponseWriter, r *http.Request, _ Identity) {
	status, err := s.Backend.Status(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, status)
}

// LogLevel is the body of a change of the log level.
type LogLevel struct {
	Level string `json:"level"` // trace, debug, info, warn or error
}

func (s *Server) logLevel(w http.ResponseWriter, r *http.Request, id Identity) {
	var body LogLevel
	if !readJSON(w, r, maxJSON, &body) {
		return
	}
	level := hclog.LevelFromString(body.Level)
	if level == hclog.NoLevel {
		writeError(w, &model.Error{
			Outcome: model.OutcomeNotRun, Kind: model.ErrorKindInvalid,
			Message: "the log level is unknown", Remedy: "use trace, debug, info, warn or error",
		})
		return
	}
	s.Logger.Warn("log level changed", "level", body.Level, "operator", string(id.Operator))
	s.Logger.SetLevel(level)
	writeJSON(w, http.StatusOK, body)
}

func (s *Server) drain(w http.ResponseWriter, r *http.Request, id Identity) {
	s.Logger.Info("drain requested", "operator", string(id.Operator), "remote", r.RemoteAddr)
	s.Backend.Drain()
	writeJSON(w, http.StatusAccepted, struct{}{})
}
