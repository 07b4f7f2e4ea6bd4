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

// singleKeyDirectory is a Directory with a single API key.
type singleKeyDirectory struct{ Directory }

func (singleKeyDirectory) Authenticate(authorization string) (Customer, error) {
	if authorization != "Bearer good" {
		return Customer{}, verdict.New(verdict.NotRun, verdict.Unauthenticated, "the API key is not known")
	}
	return Customer{Name: names.Customer("c")}, nil
}

// unreadableBody is a request body that fails the test if it is read.
type unreadableBody struct{ t *testing.T }

func (u unreadableBody) Read([]byte) (int, error) {
	u.t.Error("the body was read before the caller was authenticated")
	return 0, io.EOF
}

func (unreadableBody) Close() error { return nil }

func TestUnknownKeysAreRefusedBeforeTheBodyIsRead(t *testing.T) {
	refused := 0
	handler := RequireAPIKey(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusAccepted)
	}), singleKeyDirectory{}, func(*verdict.Error) { refused++ })
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
		r := httptest.NewRequest(http.MethodPost, c.path, unreadableBody{t})
		r.Header.Set("Authorization", c.key)
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		if w.Code != c.want {
			t.Errorf("%s with %q: status %d, want %d", c.path, c.key, w.Code, c.want)
		}
		if w.Code != http.StatusUnauthorized {
			continue
		}
		var body struct {
			Error struct{ Code, Verdict string }
		}
		if err := json.Unmarshal(w.Body.Bytes(), &body); err != nil || body.Error.Code != "unauthenticated" || body.Error.Verdict != "not_run" {
			t.Errorf("decode error %v, body %s", err, w.Body)
		}
	}
	if refused != 2 {
		t.Errorf("%d refusals were counted, want 2", refused)
	}
}
