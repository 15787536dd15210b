package wire

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"camphorpulley.org/core/node"
)

// fixtures returns the messages in testdata, which are encoded as JSON with the field
// names of package node, by file name.
func fixtures(t testing.TB) map[string]node.Message {
	files, err := filepath.Glob("testdata/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("got %d files, error %v, want some", len(files), err)
	}
	all := map[string]node.Message{}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		var m node.Message
		if err := json.Unmarshal(data, &m); err != nil {
			t.Fatalf("%s: %v", file, err)
		}
		all[filepath.Base(file)] = m
	}
	return all
}

// TestRoundTrip checks that each fixture is equal after encoding and decoding.
func TestRoundTrip(t *testing.T) {
	for name, want := range fixtures(t) {
		data, err := EncodeNodeMessage(want)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		got, err := DecodeNodeMessage(data)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if !reflect.DeepEqual(got, want) {
			g, _ := json.Marshal(got)
			w, _ := json.Marshal(want)
			t.Errorf("%s: decoded message: got\n%s\nwant\n%s", name, g, w)
		}
	}
}

// FuzzDecode checks that no input makes the decoder panic and that decoded messages
// can be encoded.
func FuzzDecode(f *testing.F) {
	for _, m := range fixtures(f) {
		data, err := EncodeNodeMessage(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte{0xa1, 0x02, 0xa1, 0x07, 0x9f, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := DecodeNodeMessage(data)
		if err != nil {
			return
		}
		if _, err := EncodeNodeMessage(m); err != nil {
			t.Errorf("encoding of a decoded message: got error %v, want none", err)
		}
	})
}
