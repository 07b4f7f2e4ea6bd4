package gateway

import (
	"encoding/json"
	"net/http"
	"strings"

	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/request/failure"
)

// callerPaths is the prefix of all paths that need a key.
const callerPaths = "/v1/"

// Authenticated refuses requests with an unknown key before anything of their
// bodies is read. refused is told of each.
func Authenticated(next http.Handler, directory Directory, refused func(*verdict.Error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, callerPaths) {
			next.ServeHTTP(w, r)
			return
		}
		_, err := directory.Authenticate(r.Header.Get("Authorization"))
		if e := verdict.From(err); e != nil && e.Reason == verdict.Unauthenticated {
			refused(e)
			body := failure.Formatter(failure.WithResponseHeader(r.Context(), w.Header()), e)
			w.Header().Set("Connection", "close") // the body stays unread
			w.WriteHeader(body.StatusCode())
			_ = json.NewEncoder(w).Encode(body) // the caller is gone otherwise
			return
		}
		next.ServeHTTP(w, r)
	})
}
