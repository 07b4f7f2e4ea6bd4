package platform

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"carobspoke.example/serving/platform"
)

func startPlatform(t *testing.T, config Config) (*Server, *platform.Client) {
	t.Helper()
	s, err := Start("127.0.0.1:0", config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s, platform.NewClient(s.Address(), nil)
}

func publish(t *testing.T, s *Server, data string) {
	t.Helper()
	if _, err := s.Publish("root", []byte(data)); err != nil {
		t.Fatal(err)
	}
}

func TestWatchReturnsOnChangeOrAfterWait(t *testing.T) {
	s, client := startPlatform(t, Config{Wait: 50 * time.Millisecond})
	publish(t, s, "one")
	if _, err := client.Watch(t.Context(), "root", 1); !errors.Is(err, platform.ErrNoChange) {
		t.Fatalf("watch without a change: %v", err)
	}
	if _, err := client.Get(t.Context(), "none"); !errors.Is(err, platform.ErrNotFound) {
		t.Fatalf("read of an unknown key: %v", err)
	}
	s.config.Wait = time.Minute
	time.AfterFunc(20*time.Millisecond, func() { publish(t, s, "two") })
	got, err := client.Watch(t.Context(), "root", 1)
	if err != nil || got.Revision != 2 || string(got.Data) != "two" {
		t.Fatalf("got %+v, %v", got, err)
	}
	if answered, _ := s.Calls(); answered != 3 {
		t.Fatalf("counted %d calls; each watch must count as one", answered)
	}
}

func TestStalePlatformHidesNewValuesFromReadersAndWatchers(t *testing.T) {
	s, client := startPlatform(t, Config{Wait: 50 * time.Millisecond})
	publish(t, s, "old")
	s.SetStale(true)
	publish(t, s, "new")
	if got, err := client.Get(t.Context(), "root"); err != nil || string(got.Data) != "old" {
		t.Fatalf("got %+v, %v", got, err)
	}
	if _, err := client.Watch(t.Context(), "root", 1); !errors.Is(err, platform.ErrNoChange) {
		t.Fatalf("watch of a stale value: %v", err)
	}
	s.SetStale(false)
	if got, err := client.Get(t.Context(), "root"); err != nil || string(got.Data) != "new" {
		t.Fatalf("got %+v, %v", got, err)
	}
	s.SetDown(true)
	if _, err := client.Get(context.Background(), "root"); !errors.Is(err, platform.ErrUnavailable) {
		t.Fatalf("read while the platform is down: %v", err)
	}
}

func TestCallsOverRateLimitAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Server{limit: limiter{rate: 2000}}
		admitted := 0
		for range 50 {
			for range 100 {
				if s.admit() {
					admitted++
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
		answered, refused := s.Calls()
		if answered != admitted || answered+refused != 5000 || answered != 2000+49*40 {
			t.Fatalf("%d answered, %d refused", answered, refused)
		}
	})
}
