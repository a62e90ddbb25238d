// Package jsoncodec decodes JSON that comes from outside of the process: requests, responses
// and stored records.
package jsoncodec

import (
	"bytes"
	"errors"
	"io"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// decodeOptions make the decoder lenient about fields that it ignores: such a field may be
// repeated, and may hold text that is not valid Unicode. Of a repeated field that is not
// ignored, the last value counts.
var decodeOptions = json.JoinOptions(
	jsontext.AllowDuplicateNames(true),
	jsontext.AllowInvalidUTF8(true),
)

// Unmarshal decodes a JSON value into the variable that out points to. The names of fields are
// case-sensitive. Fields that the type of the variable does not have are ignored.
func Unmarshal(data []byte, out any) error {
	return json.Unmarshal(data, out, decodeOptions)
}

// ErrNotObject means that a JSON value is not an object.
var ErrNotObject = errors.New("not a JSON object")

// errTrailingData means that a JSON value is followed by more data.
var errTrailingData = errors.New("data after the JSON value")

// EachField calls visit with the name and the value of each field of a JSON object. The value
// is valid only until visit returns.
func EachField(data []byte, visit func(name string, value jsontext.Value)) error {
	decoder := jsontext.NewDecoder(bytes.NewBuffer(data), decodeOptions)
	start, err := decoder.ReadToken()
	if err != nil {
		return err
	}
	if start.Kind() != jsontext.KindBeginObject {
		return ErrNotObject
	}
	for decoder.PeekKind() != jsontext.KindEndObject {
		name, err := decoder.ReadToken()
		if err != nil {
			return err
		}
		key := name.String()
		value, err := decoder.ReadValue()
		if err != nil {
			return err
		}
		visit(key, value)
	}
	if _, err := decoder.ReadToken(); err != nil {
		return err
	}
	if _, err := decoder.ReadToken(); !errors.Is(err, io.EOF) {
		return errTrailingData
	}
	return nil
}
