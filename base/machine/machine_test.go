package machine

import (
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"testing/fstest"

	"github.com/rogpeppe/go-internal/txtar"
)

// TestMemory guards against a router that takes the memory of the whole machine for its own
// where its control group has less, and one that has none where no limit is set. Each file in
// testdata holds files of the system, and in its comment the memory in bytes.
func TestMemory(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(paths) == 0 {
		t.Fatalf("testdata: got %d files and error %v, want some", len(paths), err)
	}
	for _, path := range paths {
		archive, err := txtar.ParseFile(path)
		if err != nil {
			t.Fatal(err)
		}
		want, err := strconv.ParseInt(strings.TrimSpace(string(archive.Comment)), 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		root := fstest.MapFS{}
		for _, f := range archive.Files {
			root[f.Name] = &fstest.MapFile{Data: f.Data}
		}
		if got := Memory(root); got != want {
			t.Errorf("%s: got %d bytes, want %d", path, got, want)
		}
	}
}

// TestDescriptors guards against a limit that isn't read.
func TestDescriptors(t *testing.T) {
	if got := Descriptors(); got <= 0 {
		t.Errorf("descriptors: got %d, want more than 0", got)
	}
}
