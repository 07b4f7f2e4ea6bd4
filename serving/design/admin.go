package design

import (
	. "goa.design/goa/v3/dsl" //nolint:staticcheck // the goa DSL is meant to be dot-imported
)

// adminAttributes declares the payload attributes common to the authenticated
// administration methods.
func adminAttributes() {
	Attribute("authorization", String, "Bearer administration key")
}

// adminHeaders maps the attributes of adminAttributes to request headers.
func adminHeaders() {
	Header("authorization:Authorization")
}

var memberStatus = Type("MemberStatus", func() {
	Attribute("host", String, "Address, IP:port")
	Attribute("data_centre", String)
	Attribute("incarnation", UInt64)
	Attribute("state", String, "alive, suspect, dead or left")
	Attribute("version", UInt64, "Manifest version in force there")
	Required("host", "data_centre", "incarnation", "state", "version")
})

var targetStatus = Type("TargetStatus", func() {
	Attribute("name", String)
	Attribute("address", String, "IP:port")
	Attribute("data_centre", String)
	Attribute("serves", String, "Model and version, or service")
	Attribute("state", String, "ready, loading, leaving, left, unreachable")
	Attribute("leaves_at", String, "Departure time, RFC 3339")
	Attribute("queued_tokens", Int, "From the last report, with own dispatches since")
	Attribute("free_blocks", Int)
	Attribute("total_blocks", Int)
	Attribute("in_flight", Int, "Requests of this daemon in flight there")
	Attribute("report_age_ms", Int64, "Age of the last report, in milliseconds")
	Required("name", "address", "data_centre", "serves", "state", "queued_tokens", "free_blocks", "total_blocks", "in_flight", "report_age_ms")
})

var quotaStatus = Type("QuotaStatus", func() {
	Attribute("customer", String)
	Attribute("granted_tokens_per_second", Float64)
	Attribute("used_tokens_per_second", Float64)
	Required("customer", "granted_tokens_per_second", "used_tokens_per_second")
})

var scoreStep = Type("ScoreStep", func() {
	Attribute("target", String)
	Attribute("step", String, "Filter or scorer")
	Attribute("verdict", String, "kept, dropped, or a score")
	Attribute("reason", String)
	Required("target", "step", "verdict", "reason")
})

var _ = Service("admin", func() {
	Description("Read-only administration; operators drive by publishing a manifest")

	Method("status", func() {
		Payload(func() { adminAttributes() })
		Result(func() {
			Attribute("host", String)
			Attribute("data_centre", String)
			Attribute("incarnation", UInt64)
			Attribute("version", UInt64, "Manifest version in force")
			Attribute("digest", String, "Digest of the manifest's root")
			Attribute("ready", Boolean)
			Attribute("draining", Boolean)
			Attribute("members", ArrayOf(memberStatus))
			Attribute("targets", ArrayOf(targetStatus))
			Attribute("quotas", ArrayOf(quotaStatus))
			Attribute("refusals", MapOf(String, Int64), "Count by reason")
			Attribute("control", MapOf(String, Float64), "Control budget: bytes_per_second, messages_per_second, cpu_fraction, memory_bytes")
			Required("host", "data_centre", "incarnation", "version", "digest", "ready", "draining", "members", "targets", "quotas", "refusals", "control")
		})
		HTTP(func() {
			GET("/admin/v1/status")
			adminHeaders()
			Response(StatusOK)
		})
	})

	Method("explain", func() {
		Description("Say why a request would go where, without sending it")
		Payload(func() {
			adminAttributes()
			Attribute("customer", String)
			Attribute("model", String)
			Attribute("prompt_tokens", Int)
			Attribute("max_tokens", Int)
			Attribute("timeout_ms", Int64)
			Required("customer", "model", "prompt_tokens")
		})
		Result(func() {
			Attribute("decision", String)
			Attribute("target", String)
			Attribute("class", String)
			Attribute("steps", ArrayOf(scoreStep))
			Required("decision", "class", "steps")
		})
		HTTP(func() {
			GET("/admin/v1/explain")
			adminHeaders()
			Param("customer")
			Param("model")
			Param("prompt_tokens")
			Param("max_tokens")
			Param("timeout_ms")
			Response(StatusOK)
		})
	})

	Method("dry_run", func() {
		Description("Check a manifest and say what it would change")
		Payload(func() {
			adminAttributes()
			Attribute("manifest", String, "The manifest's TOML text")
			Required("manifest")
		})
		Result(func() {
			Attribute("valid", Boolean)
			Attribute("problems", ArrayOf(String))
			Attribute("changes", ArrayOf(String))
			Required("valid", "problems", "changes")
		})
		HTTP(func() {
			POST("/admin/v1/manifest/dry-run")
			adminHeaders()
			Response(StatusOK)
		})
	})

	Method("metrics", func() {
		Payload(func() { adminAttributes() })
		Result(MapOf(String, Any))
		HTTP(func() {
			GET("/admin/v1/metrics")
			adminHeaders()
			Response(StatusOK)
		})
	})

	Method("health", func() {
		Description("The process runs")
		Result(String)
		HTTP(func() {
			GET("/healthz")
			Response(StatusOK)
		})
	})

	Method("ready", func() {
		Description("The daemon admits requests; otherwise the answer is a failure")
		Result(String)
		HTTP(func() {
			GET("/readyz")
			Response(StatusOK)
		})
	})
})
