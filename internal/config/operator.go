package config

import (
	"encoding/xml"
	"fmt"
	"os"
	"strconv"
	"strings"

	"woadweir/internal/duty"
	"woadweir/internal/spill"
)

// OperatorSettings are the settings from the operators' file, with the policies from the
// duties and spill files.
type OperatorSettings struct {
	XMLName           xml.Name `xml:"woadweir"`
	ExtraCapacityRate Number   `xml:"extra-capacity-rate"`
	LoopPeriodS       Number   `xml:"loop-period-s"`
	Granularity       Number   `xml:"granularity"`
	BlockLeaseS       Number   `xml:"block-lease-s"`
	RefusedPauseS     Number   `xml:"refused-pause-s"`
	// Duties is the policy from the duties file, nil without one.
	Duties *duty.Policy `xml:"-"`
	// Spill is the policy from the spill file, nil without one.
	Spill *spill.Policy `xml:"-"`
}

// Number is a decimal number in an XML element. Text that is not a number is reported with
// the name of the element.
type Number float64

// UnmarshalXML implements xml.Unmarshaler.
func (n *Number) UnmarshalXML(decoder *xml.Decoder, start xml.StartElement) error {
	var text string
	if err := decoder.DecodeElement(&text, &start); err != nil {
		return err
	}
	value, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil {
		return &FieldError{start.Name.Local, fmt.Sprintf("%q is not a number", text)}
	}
	*n = Number(value)
	return nil
}

// DefaultOperatorSettings returns the settings for elements that the operators' file does
// not contain.
func DefaultOperatorSettings() *OperatorSettings {
	return &OperatorSettings{
		ExtraCapacityRate: 0.1,
		LoopPeriodS:       10,
		Granularity:       5,
		BlockLeaseS:       30,
		RefusedPauseS:     6,
	}
}

// LoadOperatorSettings loads and checks the operators' file. For an empty path, it returns
// the defaults.
func LoadOperatorSettings(path string) (*OperatorSettings, error) {
	operator := DefaultOperatorSettings()
	if path == "" {
		return operator, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if err := xml.Unmarshal(raw, operator); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := operator.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return operator, nil
}

func (o *OperatorSettings) check() error {
	err := checkRanges([]fieldRange{
		{"extra-capacity-rate", float64(o.ExtraCapacityRate), 0, 1, true},
		{"loop-period-s", float64(o.LoopPeriodS), 0.1, 600, true},
		{"granularity", float64(o.Granularity), 1, 100, true},
		{"block-lease-s", float64(o.BlockLeaseS), 2, 600, true},
		{"refused-pause-s", float64(o.RefusedPauseS), 0.1, 600, true},
	})
	if err != nil {
		return err
	}
	if o.Granularity != Number(int(o.Granularity)) {
		return &FieldError{"granularity", fmt.Sprintf("%v is not a whole number", o.Granularity)}
	}
	return nil
}
