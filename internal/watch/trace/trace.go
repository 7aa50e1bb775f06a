// Package trace sets up OpenTelemetry spans, which are written to a file or to standard
// output, and the W3C trace context that a request carries on every hop.
package trace

import (
	"context"
	"io"
	"os"

	"github.com/zeebo/errs"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// Err is the class of failures to open or close the span output.
var Err = errs.Class("trace")

// Tracer creates spans and owns their output.
type Tracer struct {
	trace.Tracer
	provider trace.TracerProvider
	close    func() error
}

// New returns a tracer that appends to a file, writes to standard output if the name is
// "stdout", or records nothing if the name is empty. The share from 0 to 1 of requests that
// arrive without a trace is sampled. It returns an Err.
func New(file, entry string, share float64) (*Tracer, error) {
	if file == "" {
		p := noop.NewTracerProvider()
		return &Tracer{Tracer: p.Tracer("entry"), provider: p, close: func() error { return nil }}, nil
	}
	w, closeOutput, err := open(file)
	if err != nil {
		return nil, err
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(w))
	if err != nil {
		return nil, errs.Combine(Err.Wrap(err), closeOutput())
	}
	p := sdk.NewTracerProvider(
		sdk.WithBatcher(exporter),
		sdk.WithSampler(sdk.ParentBased(sdk.TraceIDRatioBased(share))),
		sdk.WithResource(resource.NewSchemaless(attribute.String("service.instance.id", entry))),
	)
	stop := func() error { return errs.Combine(Err.Wrap(p.Shutdown(context.Background())), closeOutput()) }
	return &Tracer{Tracer: p.Tracer("entry"), provider: p, close: stop}, nil
}

// Provider returns the tracer provider, for instrumentation libraries.
func (t *Tracer) Provider() trace.TracerProvider { return t.provider }

// Propagator returns the propagator of the W3C trace context format.
func Propagator() propagation.TextMapPropagator { return propagation.TraceContext{} }

// Close writes the remaining spans and closes the output. It returns an Err.
func (t *Tracer) Close() error { return t.close() }

// open returns the output of spans and a function that closes it.
func open(file string) (io.Writer, func() error, error) {
	if file == "stdout" {
		return os.Stdout, func() error { return nil }, nil
	}
	f, err := os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, nil, Err.Wrap(err)
	}
	return f, func() error { return Err.Wrap(f.Close()) }, nil
}
