package standin

import (
	"encoding/json"
	"log/slog"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Links is a set of links with a common control API:
//
//	GET    /control/links       returns the states of all links by name
//	POST   /control/links       replaces the states of the links named in the body
//	GET    /control/links/NAME  returns the state of one link
//	POST   /control/links/NAME  sets the fields in the body and keeps the others
//	DELETE /control/links/NAME  opens both directions and clears their delays
type Links struct {
	links         map[string]*Link
	controlServer *server
}

// StartLinks starts links, whose names must be unique. ControlAddress is the
// address of the control API, "ip:port"; empty means DefaultListenAddress. Close
// stops all of them.
func StartLinks(controlAddress string, options []LinkOptions, log *slog.Logger) (*Links, error) {
	ls := &Links{links: map[string]*Link{}}
	for _, o := range options {
		if err := ls.add(o, log); err != nil {
			ls.Close()
			return nil, err
		}
	}
	var err error
	if ls.controlServer, err = startServer(listenAddressOrDefault(controlAddress), ls.handler(), loggerOrDiscard(log)); err != nil {
		ls.Close()
		return nil, err
	}
	return ls, nil
}

func (ls *Links) add(o LinkOptions, log *slog.Logger) error {
	if o.Name == "" || o.Target == "" {
		return errors.New("a link needs a name and a target address")
	}
	if ls.links[o.Name] != nil {
		return errors.Newf("duplicate link name %q", o.Name)
	}
	l, err := StartLink(o, log)
	if err != nil {
		return err
	}
	ls.links[o.Name] = l
	return nil
}

// Link returns the link with the given name, or nil.
func (ls *Links) Link(name string) *Link { return ls.links[name] }

// ControlURL returns the base URL of the control API.
func (ls *Links) ControlURL() string { return ls.controlServer.url() }

// Close stops the control server and all links.
func (ls *Links) Close() {
	if ls.controlServer != nil {
		ls.controlServer.close()
	}
	for _, l := range ls.links {
		l.Close()
	}
}

func (ls *Links) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/links", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, ls.states())
	})
	mux.HandleFunc("POST /control/links", ls.setStates)
	mux.HandleFunc("/control/links/{name}", func(w http.ResponseWriter, r *http.Request) {
		l := ls.links[r.PathValue("name")]
		if l == nil {
			http.NotFound(w, r)
			return
		}
		l.state.ServeHTTP(w, r)
	})
	return mux
}

func (ls *Links) states() map[string]LinkState {
	states := map[string]LinkState{}
	for name, l := range ls.links {
		states[name] = l.State()
	}
	return states
}

func (ls *Links) setStates(w http.ResponseWriter, r *http.Request) {
	var states map[string]LinkState
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBodyBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&states)
	if err == nil {
		err = ls.validateStates(states)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for name, s := range states {
		_ = ls.links[name].SetState(s)
	}
	writeJSON(w, ls.states())
}

// validateStates rejects a request that names an unknown link or contains an
// invalid state, before any link is changed.
func (ls *Links) validateStates(states map[string]LinkState) error {
	for name, s := range states {
		if ls.links[name] == nil {
			return errors.Newf("unknown link %q", name)
		}
		if err := s.validate(); err != nil {
			return err
		}
	}
	return nil
}
