package server

import (
	"net/http"

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
	var p model.Publish
	if !readJSON(w, r, &p) {
		return
	}
	p.Author = id.Operator
	version, err := s.Backend.Publish(r.Context(), p)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, model.PublishReply{Version: version})
}

func (s *Server) status(w http.ResponseWriter, r *http.Request, _ Identity) {
	status, err := s.Backend.Status(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, status)
}

func (s *Server) drain(w http.ResponseWriter, r *http.Request, id Identity) {
	s.Logger.Info("drain requested", "operator", string(id.Operator), "remote", r.RemoteAddr)
	s.Backend.Drain()
	writeJSON(w, http.StatusAccepted, struct{}{})
}
