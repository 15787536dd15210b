package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// sample is the target struct of the tests.
type sample struct {
	Server server `ini:"server"`
	Pools  []pool `ini:"pool" validate:"dive"`
}

type server struct {
	Name    string        `ini:"name" validate:"required"`
	Listen  string        `ini:"listen" validate:"required,hostname_port"`
	Workers int           `ini:"workers" validate:"min=1,max=64"`
	Wait    time.Duration `ini:"wait"`
	Debug   bool          `ini:"debug"`
}

type pool struct {
	Name string   `ini:"-name"`
	Kind string   `ini:"kind" validate:"oneof=model service"`
	Cold int      `ini:"cold" validate:"ltefield=Bear"`
	Bear int      `ini:"bear"`
	Tags []string `ini:"tags"`
}

// TestLoadProblems loads each testdata/NAME.ini and compares its problems with
// testdata/NAME.want, which is empty for a file without problems.
func TestLoadProblems(t *testing.T) {
	files, err := filepath.Glob("testdata/*.ini")
	if err != nil || len(files) == 0 {
		t.Fatalf("files in testdata: got %d, error %v; want at least 1 and no error", len(files), err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			data, err := os.ReadFile(strings.TrimSuffix(file, ".ini") + ".want")
			if err != nil {
				t.Fatal(err)
			}
			got := ""
			if _, err := Load[sample](file); err != nil {
				got = strings.ReplaceAll(err.Error(), file, "file")
			}
			if want := strings.TrimSpace(string(data)); got != want {
				t.Errorf("problems: got\n%s\nwant\n%s", got, want)
			}
		})
	}
}

func TestLoadValues(t *testing.T) {
	got, err := Load[sample]("testdata/good.ini")
	if err != nil {
		t.Fatal(err)
	}
	want := server{Name: "r1", Listen: "127.0.0.1:80", Workers: 4, Wait: 250 * time.Millisecond, Debug: true}
	if got.Server != want {
		t.Errorf("section server: got %+v, want %+v", got.Server, want)
	}
	if got, want := strings.Join(got.Pools[0].Tags, "|"), "POST /a|b"; got != want {
		t.Errorf("tags of the first pool: got %s, want %s", got, want)
	}
}

// FuzzParse checks that any content gives a value or problems, and no panic.
func FuzzParse(f *testing.F) {
	files, err := filepath.Glob("testdata/*.ini")
	if err != nil {
		f.Fatal(err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := Parse[sample]("file", data); err != nil && err.Error() == "" {
			t.Errorf("error text: got an empty one, want a list of problems")
		}
	})
}
