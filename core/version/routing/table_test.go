package routing

import (
	"strings"
	"testing"
	"time"

	"carobspoke.example/core/names"
)

func testConfig() *Config {
	return &Config{
		Version: 3,
		Routes: []Route{
			{Name: "wide", Hostname: "a.example", Prefix: "/x/", Services: []WeightedService{{Service: "one", Weight: 1}}},
			{Name: "narrow", Hostname: "a.example", Prefix: "/x/y/", Services: []WeightedService{{Service: "one", Weight: 9}, {Service: "two", Weight: 1}}},
			{Name: "other", Hostname: "b.example", Prefix: "/x/", Services: []WeightedService{{Service: "two", Weight: 1}}},
		},
		Services:  []Service{{Name: "one", MaxConnections: 3}, {Name: "two"}},
		Customers: []Customer{{Name: "first", Keys: []string{"k1", "k2"}}, {Name: "second", Keys: []string{"k3"}}},
	}
}

func TestMatchReturnsTheLongestPrefixOfTheHost(t *testing.T) {
	table, err := NewTable(testConfig())
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "narrow"},
		{"a.example", "/x/z", "wide"},
		{"a.example", "/x/y", "wide"},
		{"b.example", "/x/y/z", "other"},
		{"a.example", "/x", ""},
		{"c.example", "/x/y/", ""},
	}
	for _, c := range cases {
		got := ""
		if route := table.Match(c.host, c.path); route != nil {
			got = route.Name
		}
		if got != c.want {
			t.Errorf("%s%s: route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

func TestKeysBelongToCustomers(t *testing.T) {
	table, err := NewTable(testConfig())
	if err != nil {
		t.Fatal(err)
	}
	if c := table.CustomerByKey("k2"); c == nil || c.Name != "first" {
		t.Fatalf("customer of k2 = %v", c)
	}
	if c := table.CustomerByKey(""); c != nil {
		t.Fatalf("an empty key matched customer %s", c.Name)
	}
}

func TestInvalidConfigurationsAreRefused(t *testing.T) {
	cases := map[string]func(*Config){
		"version":     func(c *Config) { c.Version = 0 },
		"begin":       func(c *Config) { c.Routes[0].Prefix = "x/" },
		"has no serv": func(c *Config) { c.Routes[0].Services = nil },
		"same key":    func(c *Config) { c.Customers[1].Keys = []string{"k1"} },
	}
	for want, invalidate := range cases {
		c := testConfig()
		invalidate(c)
		if _, err := NewTable(c); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want an error with %q, got %v", want, err)
		}
	}
}

func TestPickFollowsTheWeights(t *testing.T) {
	route := &testConfig().Routes[1]
	counts := map[names.Service]int{}
	for i := range 1000 {
		counts[route.PickService(float64(i)/1000)]++
	}
	if counts["one"] != 900 || counts["two"] != 100 {
		t.Fatalf("requests per service = %v", counts)
	}
}

func TestOnlyResumableStreamsAndIdempotentRequestsAreRepeatable(t *testing.T) {
	cases := []struct {
		route Route
		want  bool
	}{
		{Route{Kind: NonIdempotent, Resumable: true}, false},
		{Route{Kind: Idempotent}, true},
		{Route{Kind: Streaming}, false},
		{Route{Kind: Streaming, Resumable: true, Timeout: time.Second}, true},
	}
	for _, c := range cases {
		if got := c.route.Repeatable(); got != c.want {
			t.Errorf("%s, resumable %t: repeatable = %t", c.route.Kind, c.route.Resumable, got)
		}
	}
}

// The last key is taken away from all customers, which stay listed. Guards against taking
// customers without keys for a configuration without customers, under which no key is needed.
func TestKeyIsRequiredWithoutAnyKey(t *testing.T) {
	cases := map[string]struct {
		customers []Customer
		want      bool
	}{
		"no customers":               {nil, false},
		"empty list of customers":    {[]Customer{}, false},
		"a customer without keys":    {[]Customer{{Name: "first"}}, true},
		"an empty list of keys":      {[]Customer{{Name: "first", Keys: []string{}}}, true},
		"an empty key":               {[]Customer{{Name: "first", Keys: []string{""}}}, true},
		"one customer without a key": {[]Customer{{Name: "first"}, {Name: "second", Keys: []string{"k"}}}, true},
	}
	for name, c := range cases {
		config := testConfig()
		config.Customers = c.customers
		table, err := NewTable(config)
		if err != nil {
			t.Fatal(err)
		}
		if got := table.RequiresKey(); got != c.want {
			t.Errorf("%s: a key is required: %t", name, got)
		}
		if customer := table.CustomerByKey(""); customer != nil {
			t.Errorf("%s: no key is that of customer %q", name, customer.Name)
		}
	}
}

// Guards against taking a route whose services all have no weight for one that may send to
// any of them.
func TestServiceWithoutWeightIsNotPicked(t *testing.T) {
	for _, r := range []Route{
		{Services: []WeightedService{{Service: "one"}, {Service: "two"}}},
		{Services: []WeightedService{{Service: "one", Weight: -1}}},
	} {
		for _, random := range []float64{0, 0.5, 0.999} {
			if got := r.PickService(random); got != "" {
				t.Errorf("service %q of %v", got, r.Services)
			}
		}
	}
	r := Route{Services: []WeightedService{{Service: "one", Weight: 1}, {Service: "two"}}}
	if got := r.PickService(0.999); got != "one" {
		t.Errorf("service %q, which has no weight", got)
	}
}
