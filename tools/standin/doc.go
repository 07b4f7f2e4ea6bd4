// Package standin groups the stand-ins for the systems that carobspoke
// serves: model engines, plain services, the platform and the weight store.
package standin
