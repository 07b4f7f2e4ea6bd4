package dev

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"strings"
	"testing"
	"time"

	"carobspoke.example/serving/connection/peers"
	"carobspoke.example/serving/connection/tlskeys"
	"carobspoke.example/serving/peerpb"
	"carobspoke.example/serving/process/budget"
	"carobspoke.example/tools/standin/fleet"
	"go.uber.org/zap"
)

func startTLSFleet(t *testing.T) (*Environment, *Authority) {
	t.Helper()
	authority, err := NewAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	d, err := Start(t.Context(), Config{
		Fleet:     fleet.Config{Size: fleet.Dev, Speedup: testSpeedup},
		Authority: authority, Log: zap.NewNop(), AdjustManifest: keepOneEngine,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d, authority
}

func TestCallersAndPeersUseTLS(t *testing.T) {
	d, authority := startTLSFleet(t)
	roots := x509.NewCertPool()
	roots.AddCert(authority.Certificate())
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}}}
	for _, daemon := range d.Daemons() {
		body := strings.NewReader(`{"model":"draft","prompt":"x","max_tokens":3}`)
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "https://"+daemon.CallerAddress()+"/v1/completions", body)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer "+fleet.APIKey("customer-a"))
		response, err := client.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close() // only the status is checked
		if response.StatusCode != http.StatusOK {
			t.Fatalf("status %d", response.StatusCode)
		}
	}
}

func TestPeerCertificateOfAnotherAuthorityIsRefused(t *testing.T) {
	d, _ := startTLSFleet(t)
	otherAuthority, err := NewAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	pair, err := tlskeys.Load(otherAuthority.File(CertFile), otherAuthority.File(KeyFile), otherAuthority.File(CAFile))
	if err != nil {
		t.Fatal(err)
	}
	pool := peers.NewPool(pair.MutualClientConfig(), budget.RPCMeter{Meter: &budget.Meter{}}, nil)
	defer pool.Close()
	conn, err := pool.Conn(d.Daemons()[0].Host())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := peerpb.NewForwardingClient(conn).Call(t.Context(), &peerpb.CallRequest{}); err == nil {
		t.Fatal("a peer with a certificate of another authority was accepted")
	}
}

func TestRenewedCertificateIsUsedWithoutRestart(t *testing.T) {
	authority, err := NewAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	pair, err := tlskeys.LoadWithClock(func() time.Time { return now }, authority.File(CertFile), authority.File(KeyFile), "")
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(10 * time.Millisecond) // so that the files' modification times differ
	if err := authority.Renew(77); err != nil {
		t.Fatal(err)
	}
	now = now.Add(tlskeys.CheckInterval)
	cert, err := pair.ServerConfig().GetCertificate(nil)
	if err != nil {
		t.Fatal(err)
	}
	leaf, err := x509.ParseCertificate(cert.Certificate[0])
	if err != nil {
		t.Fatal(err)
	}
	if leaf.SerialNumber.Int64() != 77 {
		t.Fatalf("serial number %s", leaf.SerialNumber)
	}
}
