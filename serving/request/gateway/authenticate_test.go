package gateway

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"carobspoke.example/core/names"
	"carobspoke.example/core/verdict"
)

// oneKey knows a single key.
type oneKey struct{ Directory }

func (oneKey) Authenticate(authorization string) (Customer, error) {
	if authorization != "Bearer good" {
		return Customer{}, verdict.New(verdict.NotRun, verdict.Unauthenticated, "the API key is not known")
	}
	return Customer{Name: names.Customer("c")}, nil
}

// unread is a body that fails the test if it is read.
type unread struct{ t *testing.T }

func (u unread) Read([]byte) (int, error) {
	u.t.Error("the body was read before the caller was known")
	return 0, io.EOF
}

func (unread) Close() error { return nil }

func TestUnknownKeysAreRefusedBeforeTheBodyIsRead(t *testing.T) {
	refused := 0
	handler := Authenticated(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusAccepted)
	}), oneKey{}, func(*verdict.Error) { refused++ })
	cases := []struct {
		path, key string
		want      int
	}{
		{"/v1/chat/completions", "Bearer bad", http.StatusUnauthorized},
		{"/v1/chat/completions", "", http.StatusUnauthorized},
		{"/v1/chat/completions", "Bearer good", http.StatusAccepted},
		{"/healthz", "", http.StatusAccepted},
	}
	for _, c := range cases {
		r := httptest.NewRequest(http.MethodPost, c.path, unread{t})
		r.Header.Set("Authorization", c.key)
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		if w.Code != c.want {
			t.Errorf("%s with %q: %d, want %d", c.path, c.key, w.Code, c.want)
		}
		if w.Code != http.StatusUnauthorized {
			continue
		}
		var body struct {
			Error struct{ Code, Verdict string }
		}
		if err := json.Unmarshal(w.Body.Bytes(), &body); err != nil || body.Error.Code != "unauthenticated" || body.Error.Verdict != "not_run" {
			t.Errorf("%v, body %s", err, w.Body)
		}
	}
	if refused != 2 {
		t.Errorf("%d refusals were counted", refused)
	}
}
