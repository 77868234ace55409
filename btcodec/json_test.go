package btcodec_test

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide"
	"github.com/baobabtide/baobabtide/btcodec"
)

type inner struct {
	Wait time.Duration
}

type outer struct {
	Name  string
	Parts []inner
}

func (o *outer) Check() error {
	for i, p := range o.Parts {
		if p.Wait < 0 {
			return baobabtide.WithinIndex("Parts", i, baobabtide.Fieldf("Wait", "%s is negative", p.Wait))
		}
	}
	return nil
}

func TestDecodeJSONReportsField(t *testing.T) {
	tests := map[string]struct {
		text string
		want *baobabtide.FieldError
	}{
		"unknown field":     {`{"Name":"a","Parts":[{"Wait":"1s","Extra":1}]}`, &baobabtide.FieldError{Path: "Parts[0].Extra", Rule: "unknown field"}},
		"wrong letter case": {`{"name":"a"}`, &baobabtide.FieldError{Path: "name", Rule: "unknown field"}},
		"duplicate field":   {`{"Name":"a","Name":"b"}`, &baobabtide.FieldError{Path: "Name", Rule: "duplicate object member name at byte 12"}},
		"trailing data":     {`{"Name":"a"} x`, &baobabtide.FieldError{Path: "", Rule: "invalid character 'x' after top-level value at byte 13"}},
		"wrong type":        {`{"Name":7}`, &baobabtide.FieldError{Path: "Name", Rule: "a JSON number does not fit string"}},
		"bad duration":      {`{"Parts":[{"Wait":"1 week"}]}`, &baobabtide.FieldError{Path: "Parts[0].Wait", Rule: `time: unknown unit " week" in duration "1 week"`}},
		"failed Check":      {`{"Parts":[{"Wait":"1s"},{"Wait":"-1s"}]}`, &baobabtide.FieldError{Path: "Parts[1].Wait", Rule: "-1s is negative"}},
		"empty text":        {``, &baobabtide.FieldError{Rule: "the text ends too early"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := btcodec.DecodeJSON[outer]([]byte(tt.text))
			var got *baobabtide.FieldError
			if !errors.As(err, &got) {
				t.Fatalf("error %v is not a FieldError", err)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("error (-want +got):\n%s", diff)
			}
		})
	}
}

func TestJSONRoundTrip(t *testing.T) {
	want := &outer{Name: "a", Parts: []inner{{Wait: 1500 * time.Millisecond}}}
	data, err := btcodec.EncodeJSON(want)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(`{"Name":"a","Parts":[{"Wait":"1.5s"}]}`, string(data)); diff != "" {
		t.Errorf("text (-want +got):\n%s", diff)
	}
	got, err := btcodec.DecodeJSON[outer](data)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("value (-want +got):\n%s", diff)
	}
}

// Log records are untrusted input. Decoding must return without a panic on any
// data, and an accepted record must stay the same when it is encoded and decoded
// again.
func FuzzDecodeRecord(f *testing.F) {
	f.Add([]byte(`{"ID":"a","Actor":"b","Release":{"Service":"s","Version":"v"}}`))
	f.Add([]byte(`{"ID":"a","Actor":"b","Drain":{"Node":"n"}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		record, err := btcodec.DecodeJSON[baobabtide.Record](data)
		if err != nil {
			return
		}
		encoded, err := btcodec.EncodeJSON(record)
		if err != nil {
			t.Fatalf("encode accepted record: %v", err)
		}
		decoded, err := btcodec.DecodeJSON[baobabtide.Record](encoded)
		if err != nil {
			t.Fatalf("decode encoded record %s: %v", encoded, err)
		}
		if diff := cmp.Diff(record, decoded); diff != "" {
			t.Errorf("record (-first +second):\n%s", diff)
		}
	})
}
