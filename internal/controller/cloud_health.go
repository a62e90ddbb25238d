package controller

import "woadweir/internal/core/model"

// cloudHealth tracks whether a leader's calls to the cloud succeed.
type cloudHealth struct {
	lastFailure, lastSuccess model.Micros
}

func (h *cloudHealth) failed(now model.Micros)    { h.lastFailure = now }
func (h *cloudHealth) succeeded(now model.Micros) { h.lastSuccess = now }

// isHealthy reports whether the latest call to the cloud succeeded.
func (h *cloudHealth) isHealthy() bool { return h.lastSuccess > h.lastFailure }

// failedWithin reports whether the latest failed call to the cloud is no older than a span.
func (h *cloudHealth) failedWithin(span, now model.Micros) bool {
	return now-h.lastFailure <= span
}
