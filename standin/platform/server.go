package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"peridotpier.example/node/store"
	"peridotpier.example/node/store/rest"
)

// maxBody bounds the body of one call, in bytes; an object is the largest.
const maxBody = 64 << 20

// Services holds the four services that a server offers. A nil service is not
// offered.
type Services struct {
	Table   store.Table
	Objects store.Objects
	Hosts   store.Hosts
	Weights store.Weights
}

// Handler serves the services over HTTP in the protocol of rest.Client. For an
// answer that a stand-in loses it closes the connection without a response, which
// is what a lost answer looks like to a client.
func Handler(s Services) http.Handler {
	mux := http.NewServeMux()
	if s.Table != nil {
		tableRoutes(mux, s.Table)
	}
	if s.Objects != nil {
		objectRoutes(mux, s.Objects)
	}
	if s.Hosts != nil {
		mux.HandleFunc("GET "+rest.PathHosts, func(w http.ResponseWriter, r *http.Request) {
			hosts, err := s.Hosts.Hosts(r.Context())
			writeAnswer(w, rest.HostList{Hosts: hosts}, err)
		})
	}
	if s.Weights != nil {
		weightRoutes(mux, s.Weights)
	}
	return mux
}

func tableRoutes(mux *http.ServeMux, tb store.Table) {
	mux.HandleFunc("POST "+rest.PathCommit, withBody(func(w http.ResponseWriter, r *http.Request, t store.Txn) {
		v, err := tb.Commit(r.Context(), t)
		setEra(w, tb)
		writeAnswer(w, rest.CommitAnswer{Version: v}, err)
	}))
	mux.HandleFunc("POST "+rest.PathGet, withBody(func(w http.ResponseWriter, r *http.Request, g rest.GetRequest) {
		rows, err := tb.Get(r.Context(), g.Keys...)
		setEra(w, tb)
		writeAnswer(w, rest.Rows{Rows: rows}, err)
	}))
	mux.HandleFunc("POST "+rest.PathList, withBody(func(w http.ResponseWriter, r *http.Request, l rest.ListRequest) {
		rows, err := tb.List(r.Context(), l.Prefix, l.After, l.Limit)
		setEra(w, tb)
		writeAnswer(w, rest.Rows{Rows: rows}, err)
	}))
}

// setEra adds the table's era to an answer, if it can be restored.
func setEra(w http.ResponseWriter, tb store.Table) {
	if t, ok := tb.(interface{ Era() uint64 }); ok {
		w.Header().Set(rest.HeaderEra, strconv.FormatUint(t.Era(), 10))
	}
}

func objectRoutes(mux *http.ServeMux, objects store.Objects) {
	mux.HandleFunc("PUT "+rest.PathObject+"{name...}", func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		if err != nil {
			http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
			return
		}
		writeAnswer(w, struct{}{}, objects.Put(r.Context(), r.PathValue("name"), data))
	})
	mux.HandleFunc("GET "+rest.PathObject+"{name...}", func(w http.ResponseWriter, r *http.Request) {
		data, err := objects.Get(r.Context(), r.PathValue("name"))
		if err != nil {
			writeAnswer(w, nil, err)
			return
		}
		_, _ = w.Write(data)
	})
	mux.HandleFunc("GET "+rest.PathObjects, func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		limit, err := strconv.Atoi(q.Get("limit"))
		if err != nil {
			http.Error(w, "limit: "+err.Error(), http.StatusBadRequest)
			return
		}
		names, err := objects.List(r.Context(), q.Get("prefix"), q.Get("after"), limit)
		writeAnswer(w, rest.Names{Names: names}, err)
	})
}

func weightRoutes(mux *http.ServeMux, weights store.Weights) {
	mux.HandleFunc("POST "+rest.PathGrant, withBody(func(w http.ResponseWriter, r *http.Request, l rest.LoadRequest) {
		wait, err := weights.AcquireLoad(r.Context(), l.Load)
		writeAnswer(w, rest.NewGrant(wait), err)
	}))
	mux.HandleFunc("POST "+rest.PathDone, withBody(func(w http.ResponseWriter, r *http.Request, l rest.LoadRequest) {
		writeAnswer(w, struct{}{}, weights.ReleaseLoad(r.Context(), l.Load))
	}))
}

// withBody decodes the JSON body of a call and passes it to do.
func withBody[T any](do func(http.ResponseWriter, *http.Request, T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in T
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&in); err != nil {
			http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
			return
		}
		do(w, r, in)
	}
}

func writeAnswer(w http.ResponseWriter, body any, err error) {
	if err == nil {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(body)
		return
	}
	status, p, ok := rest.ProblemOf(err)
	if !ok {
		panic(http.ErrAbortHandler) // the answer is lost: the client sees the connection close
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(p)
}
