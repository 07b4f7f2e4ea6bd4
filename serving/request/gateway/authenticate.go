package gateway

import (
	"encoding/json"
	"net/http"
	"strings"

	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/request/failure"
)

// callerPathPrefix is the prefix of all paths that require an API key.
const callerPathPrefix = "/v1/"

// RequireAPIKey refuses requests with an unknown API key before any of their
// body is read, and calls refused for each. Requests to paths without
// callerPathPrefix are passed on unchecked.
func RequireAPIKey(next http.Handler, directory Directory, refused func(*verdict.Error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, callerPathPrefix) {
			next.ServeHTTP(w, r)
			return
		}
		_, err := directory.Authenticate(r.Header.Get("Authorization"))
		if e := verdict.From(err); e != nil && e.Reason == verdict.Unauthenticated {
			refused(e)
			body := failure.Formatter(failure.WithResponseHeader(r.Context(), w.Header()), e)
			w.Header().Set("Connection", "close") // the body has not been read
			w.WriteHeader(body.StatusCode())
			_ = json.NewEncoder(w).Encode(body) // a write error means that the caller has disconnected
			return
		}
		next.ServeHTTP(w, r)
	})
}
