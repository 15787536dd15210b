package wire

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// writeBuild is where the messages of this build are written.
var writeBuild = flag.String("write", "", "file to which the messages of this build are written, beside testdata/builds")

// TestEarlierBuilds decodes the messages that earlier builds have encoded, which routers of two
// builds exchange while machines are replaced: what an earlier build has stated means the same.
// Each line of a file in testdata/builds is a message in hexadecimal and as JSON.
func TestEarlierBuilds(t *testing.T) {
	if *writeBuild != "" {
		writeMessages(t, *writeBuild)
	}
	paths, err := filepath.Glob("testdata/builds/*.txt")
	if err != nil || len(paths) == 0 {
		t.Fatalf("testdata/builds: got %d files and error %v, want at least one and no error", len(paths), err)
	}
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txt"), func(t *testing.T) { checkBuild(t, path) })
	}
}

func writeMessages(t *testing.T, path string) {
	var out bytes.Buffer
	for _, m := range fleetMessages {
		data, err := EncodeFleetMessage(m)
		if err != nil {
			t.Fatal(err)
		}
		text, err := json.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&out, "%x %s\n", data, text)
	}
	if err := os.WriteFile(path, out.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
}

func checkBuild(t *testing.T, path string) {
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	lines := 0
	for scanner := bufio.NewScanner(f); scanner.Scan(); lines++ {
		encoded, want, _ := strings.Cut(scanner.Text(), " ")
		data, err := hex.DecodeString(encoded)
		if err != nil {
			t.Fatalf("line %d: %v", lines+1, err)
		}
		m, err := DecodeFleetMessage(data)
		if err != nil {
			t.Errorf("line %d: got error %v, want a message", lines+1, err)
			continue
		}
		got, err := json.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		if !states(parseJSON(t, string(got)), parseJSON(t, want)) {
			t.Errorf("line %d: got %s, want all of %s", lines+1, got, want)
		}
	}
	if lines == 0 {
		t.Errorf("%s: got no messages, want some", path)
	}
}

func parseJSON(t *testing.T, text string) any {
	t.Helper()
	var value any
	decoder := json.NewDecoder(strings.NewReader(text))
	decoder.UseNumber()
	if err := decoder.Decode(&value); err != nil {
		t.Fatal(err)
	}
	return value
}

// states reports whether a value holds all of another one. An empty list equals none.
func states(got, want any) bool {
	switch w := want.(type) {
	case nil:
		return true
	case map[string]any:
		g, ok := got.(map[string]any)
		for key, value := range w {
			ok = ok && states(g[key], value)
		}
		return ok
	case []any:
		g, _ := got.([]any)
		if len(g) != len(w) {
			return false
		}
		for i := range w {
			if !states(g[i], w[i]) {
				return false
			}
		}
		return true
	}
	return reflect.DeepEqual(got, want)
}
