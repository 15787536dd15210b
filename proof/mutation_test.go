package proof

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"golang.org/x/tools/txtar"
)

// TestRulesAreNeeded runs the cases in testdata. A case is a txtar archive whose
// comment names the rule that the case removes, with these sections:
//
//   - file: the source file, relative to the root
//   - old, new: the text to replace, which occurs once, and its replacement
//   - test: what must fail then, as the arguments of go test, or as e2e and the
//     name of an end-to-end script
func TestRulesAreNeeded(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(paths) == 0 {
		t.Fatalf("testdata: got %d cases and error %v, want at least one case and no error", len(paths), err)
	}
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txtar"), func(t *testing.T) {
			t.Parallel()
			runCase(t, path)
		})
	}
}

// runCase applies the replacement of one case through a build overlay and checks
// that the test of the case compiles and fails.
func runCase(t *testing.T, path string) {
	archive, err := txtar.ParseFile(path)
	if err != nil {
		t.Fatal(err)
	}
	sections := map[string]string{}
	for _, f := range archive.Files {
		sections[f.Name] = strings.TrimSuffix(string(f.Data), "\n")
	}
	root, err := filepath.Abs("..")
	if err != nil {
		t.Fatal(err)
	}
	overlay := writeOverlay(t, filepath.Join(root, sections["file"]), sections["old"], sections["new"])
	if script, ok := strings.CutPrefix(sections["test"], "e2e "); ok {
		runScript(t, root, overlay, script)
		return
	}
	args := append([]string{"test", "-count=1", "-overlay=" + overlay}, strings.Fields(sections["test"])...)
	cmd := exec.Command("go", args...)
	cmd.Dir = root
	out, err := cmd.CombinedOutput()
	if err == nil {
		t.Errorf("go %s: passed with the rule removed, want a failure", strings.Join(args, " "))
	}
	if strings.Contains(string(out), "[build failed]") || !strings.Contains(string(out), "FAIL") {
		t.Errorf("go %s: got output\n%s\nwant a failing test and no build error", strings.Join(args, " "), out)
	}
}

// e2eMutex is held while an end-to-end script runs: all use the same ports and folder.
var e2eMutex sync.Mutex

// runScript builds the router with the overlay, runs an end-to-end script with it
// and checks that the script fails. The other executables in bin come from make
// build.
func runScript(t *testing.T, root, overlay, script string) {
	bin := t.TempDir()
	executables, err := filepath.Glob(filepath.Join(root, "bin", "*"))
	if err != nil || len(executables) == 0 {
		t.Fatalf("bin: got %d executables and error %v, want those that make build writes and no error", len(executables), err)
	}
	for _, executable := range executables {
		if err := os.Symlink(executable, filepath.Join(bin, filepath.Base(executable))); err != nil {
			t.Fatal(err)
		}
	}
	router := filepath.Join(bin, "camphorpulley")
	if err := os.Remove(router); err != nil {
		t.Fatal(err)
	}
	build := exec.Command("go", "build", "-overlay="+overlay, "-o", router, "./router")
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build the router with the rule removed: got error %v, want none:\n%s", err, out)
	}
	e2eMutex.Lock()
	defer e2eMutex.Unlock()
	cmd := exec.Command("bash", "lab/e2e.sh", script)
	cmd.Dir = root
	cmd.Env = append(os.Environ(), "BIN="+bin, "E2E_DIR=run/proof", "E2E_PORT=18000")
	out, err := cmd.CombinedOutput()
	if err == nil || !strings.Contains(string(out), "FAIL "+script) {
		t.Errorf("e2e %s: got error %v and output\n%s\nwant a failure with the rule removed", script, err, out)
	}
}

// writeOverlay writes an overlay file for go build and go test in which the old
// text of a source file is replaced, and returns its path.
func writeOverlay(t *testing.T, file, old, replacement string) string {
	source, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if got := strings.Count(string(source), old); got != 1 {
		t.Fatalf("%s: old text occurs %d times, want 1", file, got)
	}
	dir := t.TempDir()
	mutated := filepath.Join(dir, filepath.Base(file))
	if err := os.WriteFile(mutated, []byte(strings.Replace(string(source), old, replacement, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	data, err := json.Marshal(map[string]map[string]string{"Replace": {file: mutated}})
	if err != nil {
		t.Fatal(err)
	}
	overlay := filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(overlay, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return overlay
}
