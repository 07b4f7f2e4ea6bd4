// Package design describes the HTTP interfaces of a daemon in goa's language:
// the caller interface and the administration interface. Run `go generate`
// in this package after a change and commit what it writes.
package design

//go:generate go run goa.design/goa/v3/cmd/goa gen carobspoke.example/serving/design -o ..

import (
	. "goa.design/goa/v3/dsl" //nolint:staticcheck // goa's language is made to be dot-imported
)

var _ = API("carobspoke", func() {
	Title("carobspoke")
	Description("Serving layer for prompts of very unlike lengths")
	Server("daemon", func() {
		Services("completions", "calls", "admin")
	})
})
