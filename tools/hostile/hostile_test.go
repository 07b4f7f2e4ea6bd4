package hostile

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"carobspoke.example/tools/soak"
)

const (
	// loadTime is how long a load lasts, waitTime how long the daemon may take to answer
	// one request: long enough for a busy machine.
	loadTime   = 3 * time.Second
	waitTime   = 30 * time.Second
	bytesPerMB = 1 << 20
)

var (
	// loadedHost has less memory and fewer descriptors than the users' smallest host, so
	// that few clients suffice; smallestHost is that host.
	loadedHost   = HostLimits{MemoryMB: 96, Descriptors: 1000}
	smallestHost = HostLimits{MemoryMB: 184, Descriptors: 4100}
)

// program is the path of the daemon.
var program string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "hostile")
	if err == nil {
		program, err = soak.Build(context.Background(), folder)
	}
	status := 1
	if err == nil {
		status = m.Run()
	} else {
		fmt.Fprintln(os.Stderr, err)
	}
	_ = os.RemoveAll(folder) // in the folder of temporary files
	os.Exit(status)
}

// startSite starts a site and waits until it answers.
func startSite(t *testing.T, limits HostLimits) *Site {
	t.Helper()
	folder := t.TempDir()
	site, err := StartSite(program, folder, limits)
	if site != nil {
		t.Cleanup(func() {
			site.Close()
			if log, err := os.ReadFile(filepath.Join(folder, "daemon.log")); t.Failed() && err == nil {
				t.Logf("end of the daemon's log:\n%s", log[max(0, len(log)-maxLogBytes):])
			}
		})
	}
	if err != nil {
		t.Fatal(err)
	}
	waitServed(t, site)
	return site
}

const maxLogBytes = 2000

func waitServed(t *testing.T, site *Site) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTime)
	defer cancel()
	if err := site.WaitServed(ctx); err != nil {
		t.Errorf("no ordinary request was served: %v", err)
	}
}

// readUsage returns what the daemon uses. The test ends if the daemon has exited.
func readUsage(t *testing.T, site *Site) Usage {
	t.Helper()
	if !site.Alive() {
		t.Fatal("the daemon has exited")
	}
	usage, err := site.Usage()
	if err != nil {
		t.Fatal(err)
	}
	return usage
}

// checkUsage checks that the daemon stays within the limits of its host.
func checkUsage(t *testing.T, usage Usage, limits HostLimits) {
	t.Helper()
	t.Logf("resident memory of %d MB, at most %d MB, %d descriptors", usage.Resident/bytesPerMB, usage.PeakResident/bytesPerMB, usage.Descriptors)
	bound := int64(limits.MemoryMB) * bytesPerMB
	if usage.Resident > bound || usage.PeakResident > bound {
		t.Errorf("the resident memory exceeds that of a host of %d MB", limits.MemoryMB)
	}
	if usage.Descriptors > limits.Descriptors {
		t.Errorf("more open descriptors than a host with %d grants", limits.Descriptors)
	}
}

// checkLoad loads a daemon. It checks that the daemon lives, that it stays within the memory
// and the descriptors that its settings grant, and that it serves an ordinary request
// afterwards. The tests run one after the other.
func checkLoad(t *testing.T, load Load) {
	t.Helper()
	site := startSite(t, loadedHost)
	ctx, cancel := context.WithTimeout(t.Context(), loadTime)
	defer cancel()
	done := make(chan struct{})
	go func() {
		load.Run(ctx, site)
		close(done)
	}()
	descriptors := 0
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-time.After(pollInterval):
			descriptors = max(descriptors, readUsage(t, site).Descriptors)
		}
	}
	waitServed(t, site)
	usage := readUsage(t, site)
	usage.Descriptors = max(usage.Descriptors, descriptors)
	checkUsage(t, usage, loadedHost)
}

// The bodies that callers may have open at once exceed the memory of the host. Guards against
// bodies that are kept without a common bound, and against a count of what a caller announces
// in place of what it sends: chunks announce no sum.
func TestBodiesOneByteShort(t *testing.T) {
	body := fullBody()
	checkLoad(t, Load{bodyClients, held(lengthLine(len(body)), body[1:])})
}

func TestChunkedBodiesOneByteShort(t *testing.T) {
	body := fullBody()
	checkLoad(t, Load{bodyClients, held(chunkedLine, chunkHead(len(body)), body[1:])})
}

func TestWholeBodies(t *testing.T) {
	body := fullBody()
	checkLoad(t, Load{bodyClients, held(lengthLine(len(body)), body)})
}

// Pieces let the buffers of all bodies grow together.
func TestBodiesPieceByPiece(t *testing.T) {
	body := fullBody()
	checkLoad(t, Load{bodyClients, inPieces(lengthLine(len(body)), body)})
}

// A head takes many times its bytes once it is parsed. Guards against an account of the bytes
// alone.
func TestLegalHeadsOfEqualLines(t *testing.T) {
	checkLoad(t, Load{headClients, repeated(equalLines(maxHeadBytes))})
}

func TestLegalHeadsOfDifferentNames(t *testing.T) {
	checkLoad(t, Load{headClients, repeated(differentLines(maxHeadBytes))})
}

// The head stays while the daemon waits for the body.
func TestLegalHeadsWithoutTheirBody(t *testing.T) {
	checkLoad(t, Load{headClients, held(lengthLine(maxBodyBytes) + differentLines(maxHeadBytes))})
}

// Guards against a published limit that is checked only when the head has been parsed.
func TestHeadsOverTheLimit(t *testing.T) {
	checkLoad(t, Load{headClients, held(differentLines(overHeadBytes))})
}

func TestHeadsWithoutEnd(t *testing.T) {
	checkLoad(t, Load{headClients, endless(requestLine("order", "endless"), "X-Line: without end\r\n")})
}

// Guards against empty lines that count for no limit since no request has begun.
func TestEmptyLinesWithoutEnd(t *testing.T) {
	checkLoad(t, Load{headClients, endless("", "\r\n")})
}

// Guards against answers that are kept for callers that don't read them.
func TestStreamsThatAreNotRead(t *testing.T) {
	checkLoad(t, Load{headClients, unread})
}

// Guards against connections that take the descriptors which targets, peers and the store need.
func TestConnectionsWithoutARequest(t *testing.T) {
	checkLoad(t, Load{connClients, func(conn net.Conn, _ string) { waitClosed(conn) }})
}

// Guards against limits that refuse the largest request that the published limits allow.
func TestLargestLegalRequestIsServed(t *testing.T) {
	site := startSite(t, smallestHost)
	header := http.Header{"X-Long": {string(bytes.Repeat([]byte{'h'}, maxHeadBytes-usualHeadBytes))}}
	if err := site.request(t.Context(), "largest", header, bytes.NewReader(fullBody())); err != nil {
		t.Error(err)
	}
	checkUsage(t, readUsage(t, site), smallestHost)
}

// Guards against a cost of heads that refuses a legal one: the names are short and all
// different, and the body is of the largest size.
func TestLargestHeadOfShortLinesIsServed(t *testing.T) {
	site := startSite(t, smallestHost)
	header := make(http.Header)
	const base, colonAndEnd = 36, len(": \r\n")
	for i, size := int64(0), usualHeadBytes; ; i++ {
		name := "X" + strconv.FormatInt(i, base)
		if size += len(name) + colonAndEnd; size > maxHeadBytes {
			break
		}
		header[name] = []string{""}
	}
	if err := site.request(t.Context(), "short-lines", header, bytes.NewReader(fullBody())); err != nil {
		t.Error(err)
	}
	t.Logf("%d lines", len(header))
	checkUsage(t, readUsage(t, site), smallestHost)
}
