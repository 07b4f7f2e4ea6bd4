package weights

import (
	"net/http"
	"sync"
	"testing"
	"time"
)

// TestReadersShareTheRate guards against readers that each get the full rate.
// Two concurrent reads must take at least the time of both together, on a
// machine of any speed.
func TestReadersShareTheRate(t *testing.T) {
	s, err := Start("127.0.0.1:0", Config{Rate: 1000, DefaultBytes: 100})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close() //nolint:errcheck // the test is over
	start := time.Now()
	var readers sync.WaitGroup
	for range 2 {
		readers.Go(func() {
			response, err := http.Get("http://" + s.Address() + "/v1/weights/m/1")
			if err == nil {
				_ = response.Body.Close()
			}
		})
	}
	readers.Wait()
	if took := time.Since(start); took < 200*time.Millisecond || s.Reads(File{"m", "1"}) != 2 {
		t.Fatalf("%d reads in %s", s.Reads(File{"m", "1"}), took)
	}
}
