package standin

import (
	"encoding/json"
	"log/slog"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Links are several links with one control address:
//
//	GET  /control/links        shows the state of all links
//	POST /control/links        sets the states of several, by their names
//	GET  /control/links/NAME   shows one
//	POST /control/links/NAME   sets the fields given, and leaves the others
//	DELETE /control/links/NAME opens both directions without a delay
type Links struct {
	links   map[string]*Link
	control *server
}

// StartLinks starts links with different names. Control is "ip:port"; empty
// means DefaultListen. Close ends them.
func StartLinks(control string, options []LinkOptions, log *slog.Logger) (*Links, error) {
	ls := &Links{links: map[string]*Link{}}
	for _, o := range options {
		if err := ls.add(o, log); err != nil {
			ls.Close()
			return nil, err
		}
	}
	var err error
	if ls.control, err = startServer(orDefault(control), ls.handler(), logOr(log)); err != nil {
		ls.Close()
		return nil, err
	}
	return ls, nil
}

func (ls *Links) add(o LinkOptions, log *slog.Logger) error {
	if o.Name == "" || o.Target == "" {
		return errors.New("a link needs a name and an address to go to")
	}
	if ls.links[o.Name] != nil {
		return errors.Newf("two links are named %q", o.Name)
	}
	l, err := StartLink(o, log)
	if err != nil {
		return err
	}
	ls.links[o.Name] = l
	return nil
}

// Link returns a link by its name; nil if there is none.
func (ls *Links) Link(name string) *Link { return ls.links[name] }

// ControlURL is where the links are switched over HTTP.
func (ls *Links) ControlURL() string { return ls.control.url() }

// Close ends all links.
func (ls *Links) Close() {
	if ls.control != nil {
		ls.control.close()
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
	out := map[string]LinkState{}
	for name, l := range ls.links {
		out[name] = l.State()
	}
	return out
}

func (ls *Links) setStates(w http.ResponseWriter, r *http.Request) {
	var states map[string]LinkState
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBody))
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

// validateStates lets a call that names one link wrongly change none.
func (ls *Links) validateStates(states map[string]LinkState) error {
	for name, s := range states {
		if ls.links[name] == nil {
			return errors.Newf("there is no link %q", name)
		}
		if err := s.validate(); err != nil {
			return err
		}
	}
	return nil
}
