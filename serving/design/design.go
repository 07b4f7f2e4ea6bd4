// Package design defines the HTTP interfaces of a daemon in the goa DSL: the
// caller interface and the administration interface. After a change, run
// `go generate` in this package and commit the generated code.
package design

//go:generate go run goa.design/goa/v3/cmd/goa gen carobspoke.example/serving/design -o ..

import (
	. "goa.design/goa/v3/dsl" //nolint:staticcheck // the goa DSL is meant to be dot-imported
)

var _ = API("carobspoke", func() {
	Title("carobspoke")
	Description("Serving layer for prompts of very unlike lengths")
	Server("daemon", func() {
		Services("completions", "calls", "admin")
	})
})
