package controller

import (
	"log/slog"

	"github.com/HdrHistogram/hdrhistogram-go"

	"woadweir/internal/core/model"
	"woadweir/internal/duty"
)

// Parameters of the histogram of vacancy times, in milliseconds.
const (
	maxVacancyMs  = 600_000
	vacancyDigits = 2 // significant decimal digits
	medianPercent = 50
)

// vacancyTimes measures how long duties are vacant before this controller acquires them.
type vacancyTimes struct {
	vacantSince map[duty.Name]model.Micros
	histogram   *hdrhistogram.Histogram // of duties that this controller acquired
}

func newVacancyTimes() vacancyTimes {
	return vacancyTimes{vacantSince: map[duty.Name]model.Micros{}, histogram: hdrhistogram.New(1, maxVacancyMs, vacancyDigits)}
}

// observe records whether a duty is vacant now.
func (t *vacancyTimes) observe(name duty.Name, vacant bool, now model.Micros) {
	if !vacant {
		delete(t.vacantSince, name)
	} else if _, known := t.vacantSince[name]; !known {
		t.vacantSince[name] = now
	}
}

// acquired records that this controller has acquired a duty, and logs how long it was vacant.
func (t *vacancyTimes) acquired(name duty.Name, now model.Micros) {
	since, known := t.vacantSince[name]
	if !known {
		return
	}
	ms := int64((now - since) / model.Millisecond)
	if err := t.histogram.RecordValue(min(max(1, ms), maxVacancyMs)); err != nil {
		slog.Debug("vacancy time not recorded", "err", err)
	}
	slog.Info("duty was vacant", "duty", name, "ms", ms, "median_ms", t.histogram.ValueAtQuantile(medianPercent), "most_ms", t.histogram.Max())
}
