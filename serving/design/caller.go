package design

import (
	. "goa.design/goa/v3/dsl" //nolint:staticcheck // the goa DSL is meant to be dot-imported
)

var _ = Type("Failure", func() {
	Description("The body of every refusal and failure")
	Attribute("error", failureDetail)
	Required("error")
})

var failureDetail = Type("FailureDetail", func() {
	Attribute("message", String, "A sentence for the caller")
	Attribute("type", String, "The reason's class, as the ecosystem's clients expect")
	Attribute("code", String, "The reason, one of the documented list")
	Attribute("verdict", String, "Whether the request may have run", func() {
		Enum("not_run", "may_have_run", "ran")
	})
	Attribute("retry_after_ms", Int64, "When to come back, in milliseconds")
	Attribute("request_id", String, "The request's number in the logs")
	Attribute("ticket", String, "A ticket to resend the call with")
	Required("message", "type", "code", "verdict")
})

var message = Type("Message", func() {
	Attribute("role", String, "Who speaks")
	Attribute("content", Any, "A text, or a list of text parts")
	Required("role")
})

// callHeaders maps the attributes of callAttributes to request headers.
func callHeaders() {
	Header("authorization:Authorization")
	Header("timeout_ms:Carobspoke-Timeout-Ms")
	Header("priority:Carobspoke-Priority")
}

// callAttributes declares the payload attributes common to all caller methods.
func callAttributes() {
	Attribute("authorization", String, "Bearer API key")
	Attribute("timeout_ms", Int64, "Time until the answer must be complete, in milliseconds")
	Attribute("priority", Int, "Higher is more urgent, within what the customer may use")
}

// generationAttributes declares the payload attributes common to chat and
// complete.
func generationAttributes() {
	Attribute("model", String, "Model, or model:adapter")
	Attribute("max_tokens", Int, "Most tokens of the answer")
	Attribute("max_completion_tokens", Int, "Newer name of max_tokens")
	Attribute("stream", Boolean, "Send tokens as they come")
	Attribute("prompt_tokens_hint", Int, "Length of the prompt in tokens, if the caller knows it")
	Required("model")
}

// streamResult declares the result attributes that streamResponse sends as
// headers.
func streamResult() {
	Attribute("content_type", String, "text/event-stream or application/json")
	Attribute("request_id", String, "The request's number in the logs")
	Attribute("stream_ticket", String, "Ticket to resume or cancel the stream with")
	Required("content_type", "request_id", "stream_ticket")
}

// streamResponse declares a response whose body the service writes itself,
// without goa's encoding.
func streamResponse() {
	SkipResponseBodyEncodeDecode()
	Response(StatusOK, func() {
		Header("content_type:Content-Type")
		Header("request_id:Carobspoke-Request-Id")
		Header("stream_ticket:Carobspoke-Stream")
	})
}

var _ = Service("completions", func() {
	Description("Text generation in the form that the ecosystem's clients speak")

	Method("chat", func() {
		Payload(func() {
			callAttributes()
			generationAttributes()
			Attribute("messages", ArrayOf(message), "The conversation")
			Required("messages")
		})
		Result(func() { streamResult() })
		HTTP(func() {
			POST("/v1/chat/completions")
			callHeaders()
			streamResponse()
		})
	})

	Method("complete", func() {
		Payload(func() {
			callAttributes()
			generationAttributes()
			Attribute("prompt", String, "The prompt")
			Required("prompt")
		})
		Result(func() { streamResult() })
		HTTP(func() {
			POST("/v1/completions")
			callHeaders()
			streamResponse()
		})
	})

	Method("resume", func() {
		Description("Continue a stream from a token, through any daemon")
		Payload(func() {
			callAttributes()
			Attribute("ticket", String, "What Carobspoke-Stream said")
			Attribute("from", Int, "Number of the first token wanted", func() {
				Minimum(0)
			})
			Required("ticket", "from")
		})
		Result(func() { streamResult() })
		HTTP(func() {
			POST("/v1/streams/resume")
			callHeaders()
			streamResponse()
		})
	})

	Method("cancel", func() {
		Description("Give up a stream and free what it holds")
		Payload(func() {
			callAttributes()
			Attribute("ticket", String, "What Carobspoke-Stream said")
			Required("ticket")
		})
		HTTP(func() {
			POST("/v1/streams/cancel")
			callHeaders()
			Response(StatusNoContent)
		})
	})
})

var _ = Service("calls", func() {
	Description("Calls to plain services")

	Method("ticket", func() {
		Description("Mint a ticket for one non-idempotent call")
		Payload(func() {
			callAttributes()
			Attribute("service", String, "The service to call")
			Attribute("key", String, "The caller's own key for the call")
			Required("service")
		})
		Result(func() {
			Attribute("ticket", String, "Send it with the call, and with each resend")
			Attribute("expires_ms", Int64, "Time until it expires, in milliseconds")
			Required("ticket", "expires_ms")
		})
		HTTP(func() {
			POST("/v1/services/{service}/tickets")
			callHeaders()
			Response(StatusOK)
		})
	})

	Method("call", func() {
		Payload(func() {
			callAttributes()
			Attribute("service", String, "The service to call")
			Attribute("ticket", String, "A ticket of this service")
			Attribute("key", String, "The caller's own key for the call")
			Required("service")
		})
		Result(func() {
			Attribute("request_id", String, "The request's number in the logs")
			Attribute("replayed", Boolean, "The answer is that of an earlier send")
			Attribute("content_type", String, "Type of the answer's body")
			Attribute("content_length", Int, "Length of the answer's body in bytes")
			Required("request_id", "replayed", "content_type", "content_length")
		})
		HTTP(func() {
			POST("/v1/services/{service}/call")
			callHeaders()
			Header("ticket:Carobspoke-Ticket")
			Header("key:Idempotency-Key")
			SkipRequestBodyEncodeDecode()
			SkipResponseBodyEncodeDecode()
			Response(StatusOK, func() {
				Header("request_id:Carobspoke-Request-Id")
				Header("replayed:Carobspoke-Replayed")
				Header("content_type:Content-Type")
				Header("content_length:Content-Length")
			})
		})
	})
})
